"""The account of a program's token budget that all hosts share.

Load pattern: turns of one program arrive at several hosts, some at once, and some
programs loop until they are stopped.

Without it: each host would let a looping program spend its budget anew, and engines
would work for nobody.

Grounds: a host takes half of what is left, so that a program which stays at one host
writes once or twice in its life, and one that moves still finds tokens elsewhere. At
least two turns' most are taken, as a turn rarely comes alone.

A quarter of each budget is held back for outages of the store: the owner of the
program's slot lends it then, without a row. Three quarters hold every turn of today's
programs at its most, so that few programs but those that loop need the last quarter
while the store is well; it is granted once the owner has said that it won't lend it.
"""

from dataclasses import dataclass, replace

SHARE_OF_REST = 0.5
"""Part of what is left that one host takes at once."""

HELD_BACK = 0.25
"""Part of a budget that is granted only by, or after asking, the owner of the slot."""

MIN_TURNS = 2
"""Turns for which a host takes tokens at least, if there are as many."""


@dataclass(frozen=True, slots=True)
class ProgramAccount:
    """What has been granted of one program's budget.

    Parameters
    ----------
    budget : int
        Tokens that all turns of the program may generate.
    granted : int
        Tokens that hosts have taken.
    holders : tuple of str
        Hosts that took tokens; those that may have some left.
    released : bool
        Whether the owner of the slot lends nothing to the program any more.
    """

    budget: int
    granted: int = 0
    holders: tuple[str, ...] = ()
    released: bool = False

    @property
    def grantable(self) -> int:
        """Tokens that may be granted in all without asking the owner of the slot."""
        return self.budget if self.released else self.budget - held_back(self.budget)

    def charged(self, tokens: int, holders: tuple[str, ...]) -> "ProgramAccount":
        """Return the account after tokens were lent while it couldn't be written.

        Beyond what may be granted without the owner, the owner lends no more.
        """
        more = tuple(h for h in holders if h not in self.holders)
        granted = self.granted + tokens
        return replace(
            self,
            granted=granted,
            holders=self.holders + more,
            released=self.released or granted > self.grantable,
        )


@dataclass(frozen=True, slots=True)
class Granted:
    """Tokens for a host, and the account to write first."""

    tokens: int
    account: ProgramAccount


def held_back(budget: int) -> int:
    """Return what of a budget is kept for outages of the store."""
    return int(budget * HELD_BACK)


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The budget, or what may be granted of it, doesn't hold one more turn."""

    account: ProgramAccount


def grant_tokens(
    account: ProgramAccount, host: str, missing: int, most: int
) -> Granted | Exhausted:
    """Decide what a host gets of a program's budget.

    Parameters
    ----------
    account : ProgramAccount
    host : str
        Who asks.
    missing : int
        Tokens that the host lacks for the turn at hand.
    most : int
        Tokens that one turn may generate.
    """
    rest = account.grantable - account.granted
    if rest < missing:
        return Exhausted(account)
    tokens = max(missing, MIN_TURNS * most, int(rest * SHARE_OF_REST))
    tokens = min(tokens, rest)
    holders = account.holders
    if host not in holders:
        holders = (*holders, host)
    taken = replace(account, granted=account.granted + tokens, holders=holders)
    return Granted(tokens, taken)
