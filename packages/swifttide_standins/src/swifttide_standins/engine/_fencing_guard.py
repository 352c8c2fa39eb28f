"""Refusal of orders with an old fencing number."""

import threading

from swifttide_standins.web import BadInput, check_int


class FencingGuard:
    """Highest fencing number seen for each subject of an order.

    Parameters
    ----------
    checks : bool
        Whether old numbers are refused; some deployments' engines ignore them.
    """

    def __init__(self, checks: bool) -> None:
        self._checks = checks
        self._lock = threading.Lock()
        self._highest: dict[str, int] = {}

    def check(self, subject: str, header: str) -> None:
        """Take in an order's number.

        Raises
        ------
        BadInput
            With 400 when the number is missing or no integer, with 409 when a
            higher one was seen for `subject`.
        """
        if not self._checks:
            return
        number = check_int(header, "X-Fencing")
        with self._lock:
            highest = self._highest.get(subject, 0)
            if number < highest:
                detail = f"X-Fencing: got {number}, expected at least {highest}"
                raise BadInput(detail, 409)
            self._highest[subject] = number
