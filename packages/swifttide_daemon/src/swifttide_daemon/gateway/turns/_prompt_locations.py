"""Remembers which target served the last turn of each branch of a program."""

from collections import OrderedDict

from swifttide_daemon.gateway.callers._caller_request import CallerRequest

MAX_BRANCHES = 5_000
"""Branches that are remembered, about 300 bytes each. At the busiest hosts they are
those of half a minute."""


class PromptLocations:
    """Maps each branch of a program to the target that has its prompt in its cache.

    Turns of a branch follow each other within a second, mostly through the same host,
    and the prompt of each contains the whole conversation before it. A turn may go to
    another target because the usual one is busy, and computes its prompt there from the
    start. Without this map, the next turn would return to the usual target and compute
    it once more.

    Only requests that passed through this host are known. The least recently used
    branches are dropped beyond `MAX_BRANCHES`.
    """

    def __init__(self):
        self._target_ids: OrderedDict[tuple[str, str, str], str] = OrderedDict()

    def record(self, customer: str, req: CallerRequest, target_id: str) -> None:
        """Record the target that served a request, if it is a turn of a branch.

        Requests without a prompt leave nothing in the target's cache.
        """
        if not (req.turn.branch and req.prompt_tokens):
            return
        key = _branch_key(customer, req)
        self._target_ids[key] = target_id
        self._target_ids.move_to_end(key)
        if len(self._target_ids) > MAX_BRANCHES:
            self._target_ids.popitem(last=False)

    def last_target_id(self, customer: str, req: CallerRequest) -> str | None:
        """Return the id of the target of the branch's last turn; None if unknown."""
        return (
            self._target_ids.get(_branch_key(customer, req))
            if req.prompt_tokens
            else None
        )


def _branch_key(customer, req) -> tuple[str, str, str]:
    return customer, req.turn.program, req.turn.branch
