"""Where the lines of programs were served last."""

from collections import OrderedDict

from swifttide_daemon.gateway.callers._caller_request import CallerRequest

MAX_LINES = 5_000
"""Lines that are remembered, some 300 bytes each: those of half a minute at the busiest
hosts."""


class LinePlaces:
    """Targets that have the prompt of a line in memory, as this host knows.

    Load pattern: the turns of a line follow each other within a second, mostly through
    the same host; each one's prompt holds all that was said before.

    Without it: a turn that had to go elsewhere, as its usual target was busy, is read
    again from its start there, and the next one again at the usual target.
    """

    def __init__(self):
        self._targets: OrderedDict[tuple[str, str, str], str] = OrderedDict()

    def served(self, customer: str, req: CallerRequest, target_id: str) -> None:
        """Note where a request was served; only turns leave a prompt there."""
        if not (req.turn.branch and req.prompt_tokens):
            return
        place = _place(customer, req)
        self._targets[place] = target_id
        self._targets.move_to_end(place)
        if len(self._targets) > MAX_LINES:
            self._targets.popitem(last=False)

    def last(self, customer: str, req: CallerRequest) -> str | None:
        """Return the target of the line's last turn, None where it isn't known."""
        return self._targets.get(_place(customer, req)) if req.prompt_tokens else None


def _place(customer, req) -> tuple[str, str, str]:
    return customer, req.turn.program, req.turn.branch
