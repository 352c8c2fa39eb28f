"""Where the lines of programs were served last."""

from collections import OrderedDict

from swifttide_daemon.gateway.callers._caller_request import CallerRequest

MAX_BRANCHES = 5_000
"""Lines that are remembered, some 300 bytes each: those of half a minute at the busiest
hosts."""


class PromptLocations:
    """Targets that have the prompt of a line in memory, as this host knows.

    Load pattern: the turns of a line follow each other within a second, mostly through
    the same host; each one's prompt holds all that was said before.

    Without it: a turn that had to go elsewhere, as its usual target was busy, is read
    again from its start there, and the next one again at the usual target.
    """

    def __init__(self):
        self._target_ids: OrderedDict[tuple[str, str, str], str] = OrderedDict()

    def record(self, customer: str, req: CallerRequest, target_id: str) -> None:
        """Note where a request was served; only turns leave a prompt there."""
        if not (req.turn.branch and req.prompt_tokens):
            return
        key = _branch_key(customer, req)
        self._target_ids[key] = target_id
        self._target_ids.move_to_end(key)
        if len(self._target_ids) > MAX_BRANCHES:
            self._target_ids.popitem(last=False)

    def last_target_id(self, customer: str, req: CallerRequest) -> str | None:
        """Return the target of the line's last turn, None where it isn't known."""
        return (
            self._target_ids.get(_branch_key(customer, req))
            if req.prompt_tokens
            else None
        )


def _branch_key(customer, req) -> tuple[str, str, str]:
    return customer, req.turn.program, req.turn.branch
