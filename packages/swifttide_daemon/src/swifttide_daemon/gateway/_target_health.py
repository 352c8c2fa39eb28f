"""Which targets answer, and how much is under way at each."""

import asyncio
from dataclasses import dataclass

from swifttide_daemon.gateway._target_answer import MayHaveRun, NotRun

REST_SECONDS = 1.0
"""How long a target is left alone after a failure; it is tried again when no other
is usable."""


@dataclass(slots=True)
class _State:
    outstanding: int = 0
    resting_until: float = float("-inf")
    ended: bool = False


class TargetHealth:
    """What this host has seen of each target."""

    def __init__(self):
        self._states: dict[str, _State] = {}
        self.elsewhere: dict[str, float] = {}

    def sent(self, target_id: str) -> None:
        """Count a request that goes to a target."""
        self._state(target_id).outstanding += 1

    def ended_request(self, target_id: str) -> None:
        """Count a request that is no longer at a target."""
        self._state(target_id).outstanding -= 1

    def answered(self, target_id: str) -> None:
        """Note a whole answer."""
        state = self._state(target_id)
        state.resting_until = float("-inf")
        state.ended = False

    def failed(self, target_id: str, outcome: NotRun | MayHaveRun) -> None:
        """Note a failure."""
        state = self._state(target_id)
        now = asyncio.get_running_loop().time()
        match outcome:
            case NotRun(reached=True, wrong_target=False):
                # Full, not broken.
                return
            case NotRun():
                state.ended = True
        state.resting_until = now + REST_SECONDS

    def ended(self, target_id: str) -> bool:
        """Whether a target's process has ended, as far as this host has seen."""
        return self._state(target_id).ended

    def usable(self, target_id: str) -> bool:
        """Whether a target isn't being left alone."""
        now = asyncio.get_running_loop().time()
        return now >= self._state(target_id).resting_until

    def outstanding(self, target_id: str) -> float:
        """Return the requests under way at a target, from all hosts."""
        own = self._state(target_id).outstanding
        return own + self.elsewhere.get(target_id, 0.0)

    def _state(self, target_id):
        state = self._states.get(target_id)
        if state is None:
            state = self._states[target_id] = _State()
        return state
