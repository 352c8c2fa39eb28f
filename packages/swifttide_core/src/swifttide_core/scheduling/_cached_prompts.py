"""Which target is expected to have which part of a prompt in its prefix cache.

Load pattern: a program's turns follow each other within a second, each beginning with
the whole prompt of the turn before, and many programs begin with the same few parts.
Prefill of 2,000 tokens takes some 26 ms, and holds up the other turns of the target.
Turns of one branch may come through different hosts, so the hosts together don't know
where its prompt is.
"""

from collections import OrderedDict

MAX_BRANCHES = 20_000
"""Branches that are remembered, about 200 bytes each."""

MAX_PREFIXES = 256
"""Shared first parts that are remembered for each target."""

PREFIX_SECONDS = 20.0
"""Time after its last use for which a shared part is expected in a target's cache. The
least recently used parts yield first, so that one in steady use stays."""


class CachedPrompts:
    """Expected contents of the targets' prefix caches.

    All times named ``now`` are monotonic seconds.
    """

    def __init__(self):
        self._branches: OrderedDict[tuple[str, str], tuple[str, int]] = OrderedDict()
        self._prefixes: dict[str, OrderedDict[str, float]] = {}

    def record(
        self,
        target: str,
        program: str,
        branch: str,
        prompt_prefix: str,
        prompt_tokens: int,
        now: float,
    ) -> None:
        """Record that a target has read a prompt."""
        if prompt_prefix:
            prefixes = self._prefixes.setdefault(target, OrderedDict())
            prefixes[prompt_prefix] = now
            prefixes.move_to_end(prompt_prefix)
            if len(prefixes) > MAX_PREFIXES:
                prefixes.popitem(last=False)
        if program and branch and prompt_tokens:
            key = (program, branch)
            self._branches[key] = (target, prompt_tokens)
            self._branches.move_to_end(key)
            if len(self._branches) > MAX_BRANCHES:
                self._branches.popitem(last=False)

    def previous(self, program: str, branch: str) -> tuple[str, int]:
        """Return target and prompt tokens of a branch's last turn; empty and 0 if none.

        Parameters
        ----------
        program, branch : str
        """
        return self._branches.get((program, branch), ("", 0))

    def has_prefix(self, target: str, prompt_prefix: str, now: float) -> bool:
        """Return whether a target is expected to have a shared first part."""
        used_at = self._prefixes.get(target, {}).get(prompt_prefix)
        return used_at is not None and now - used_at < PREFIX_SECONDS

    def forget_target(self, target: str) -> None:
        """Remove what is known of a target that has left."""
        self._prefixes.pop(target, None)
