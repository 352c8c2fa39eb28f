"""The account of a program's token budget that all hosts share.

Load pattern: turns of one program arrive at several hosts, some at once, and some
programs loop until they are stopped.

Without it: each host would let a looping program spend its budget anew, and engines
would work for nobody.

Grounds: a host takes half of what is left, so that a program which stays at one host
writes once or twice in its life, and one that moves still finds tokens elsewhere. At
least two turns' most are taken, as a turn rarely comes alone.

A part of a large budget is held back for outages of the store: the owner of the
program's slot lends it then, without a row. What rows grant holds four turns' most or
the whole budget, so that few programs need the rest while the store is well; it is
granted once the owner has said that it won't lend it, and charged as if it had been
lent where nobody can say so.
"""

from dataclasses import dataclass, replace

GRANT_FRACTION = 0.5
"""Part of what is left that one host takes at once."""

RESERVE_FRACTION = 0.25
"""Part of a budget that is held back, at most."""

MIN_GRANTABLE_TURNS = 4
"""Turns whose most is never held back."""

MIN_GRANT_TURNS = 2
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
        Whether nothing is held back any more.
    held : int
        Tokens that the owner of the program's slot may lend.
    """

    budget: int
    granted: int = 0
    holders: tuple[str, ...] = ()
    released: bool = False
    held: int = 0

    @classmethod
    def open(cls, budget: int, max_turn_tokens: int) -> "ProgramAccount":
        """Return the account of a program whose first turn generates so much at most.

        Parameters
        ----------
        budget : int
        most : int
            Tokens that one turn may generate.
        """
        return cls(budget, held=outage_reserve(budget, max_turn_tokens))

    @property
    def has_reserve(self) -> bool:
        """Whether the owner of the slot may lend a part of the budget."""
        return bool(self.held) and not self.released

    @property
    def grantable(self) -> int:
        """Tokens that may be granted in all without asking the owner of the slot."""
        return self.budget - self.held if self.has_reserve else self.budget

    def with_reserve_charged(self) -> "ProgramAccount":
        """Return the account with what is held back charged as if it had been lent."""
        return replace(self, granted=self.granted + self.held, released=True)

    def with_loans_charged(
        self, tokens: int, holders: tuple[str, ...]
    ) -> "ProgramAccount":
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


def outage_reserve(budget: int, max_turn_tokens: int) -> int:
    """Return what of a budget is kept for outages of the store.

    Parameters
    ----------
    budget : int
    most : int
        Tokens that one turn may generate.
    """
    return max(
        0,
        min(
            int(budget * RESERVE_FRACTION),
            budget - MIN_GRANTABLE_TURNS * max_turn_tokens,
        ),
    )


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The budget, or what may be granted of it, doesn't hold one more turn."""

    account: ProgramAccount


def grant_tokens(
    account: ProgramAccount, host: str, missing: int, max_turn_tokens: int
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
    wanted = max(MIN_GRANT_TURNS * max_turn_tokens, int(rest * GRANT_FRACTION))
    # One turn's most stays: a host that is lost takes what it holds along.
    tokens = max(missing, min(wanted, rest - max_turn_tokens))
    holders = account.holders
    if host not in holders:
        holders = (*holders, host)
    taken = replace(account, granted=account.granted + tokens, holders=holders)
    return Granted(tokens, taken)
