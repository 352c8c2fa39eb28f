"""Reads the shares of customers soon after this host has claimed their slots.

Load: when slots are claimed or customers are added, the rows of the customers in this
host's slots are read once, at most `MAX_READS_PER_STEP` per step.

Without this module, a share is first read when a request draws from it. If the platform
is unavailable by then, the requests of the customer are refused until it is back.
"""

from collections import deque
from collections.abc import Container

from swifttide_core.slots import SlotKind
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._share_service import ShareService
from swifttide_daemon.membership import MembershipService

MAX_READS_PER_STEP = 20


class ShareLoader:
    """Loads the shares of all customers whose slots this host holds.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    shares : ShareService
    """

    def __init__(
        self, membership: MembershipService, config: ConfigService, shares: ShareService
    ) -> None:
        self.membership = membership
        self.config = config
        self.shares = shares
        self._loaded_state: tuple[dict[int, int], int] = ({}, 0)
        self._waiting: deque[str] = deque()

    def step(self) -> None:
        """Load some shares that are missing; the others follow with the next steps."""
        held = self.membership.held()
        state = (held, self.config.version)
        if state != self._loaded_state:
            self._loaded_state = state
            self._waiting = deque(
                n for n in self.config.customers() if self._is_in(n, held)
            )
        for _ in range(min(MAX_READS_PER_STEP, len(self._waiting))):
            # Removed before the read, so that a malformed row doesn't stop the others.
            customer = self._waiting.popleft()
            if not self.shares.load(customer):
                self._waiting.appendleft(customer)
                return

    def _is_in(self, customer: str, slots: Container[int]) -> bool:
        return self.membership.slot(SlotKind.CUSTOMER, customer) in slots
