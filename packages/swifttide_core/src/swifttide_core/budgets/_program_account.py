"""Account of a program's token budget, shared by all hosts.

Decides how many tokens of the budget a host is granted, from the tokens granted so far
and the needs of the turn at hand. It serves a load in which turns of one program arrive
at several hosts, some of them concurrently, and some programs loop until they are
stopped. Without it, each host would let a program in an endless loop spend the budget
anew, and engines would do useless work.

A grant is half of the remaining tokens. A program that stays at one host therefore
causes only one or two writes in its lifetime, and a program that moves still finds
tokens at other hosts. A grant covers at least two turns of maximum size if possible,
because a turn rarely comes alone.

A part of a large budget is reserved for outages of the store. During an outage, the
owner of the program's slot lends this reserve without a row in the store. The part
outside the reserve covers four turns of maximum size or the whole budget, so that few
programs need the reserve while the store is available. The reserve is granted once the
slot owner has confirmed that it will not lend it. If no host can confirm this, the
reserve is charged as if it had been lent.
"""

from dataclasses import dataclass, replace

GRANT_FRACTION = 0.5
"""Fraction of the remaining tokens in one grant."""

RESERVE_FRACTION = 0.25
"""Largest fraction of a budget that is reserved for outages of the store."""

MIN_GRANTABLE_TURNS = 4
"""Number of turns of maximum size that are never part of the reserve."""

MIN_GRANT_TURNS = 2
"""Smallest grant in turns of maximum size, if as many tokens remain."""


@dataclass(frozen=True, slots=True)
class ProgramAccount:
    """Tokens granted of one program's budget.

    Parameters
    ----------
    budget : int
        Tokens that all turns of the program may generate.
    granted : int
        Tokens granted to hosts.
    holders : tuple of str
        Hosts that were granted tokens and may have some left.
    released : bool
        Whether the slot owner may no longer lend the reserve.
    held : int
        Size of the reserve that the owner of the program's slot may lend, in tokens.
    """

    budget: int
    granted: int = 0
    holders: tuple[str, ...] = ()
    released: bool = False
    held: int = 0

    @classmethod
    def open(cls, budget: int, max_turn_tokens: int) -> "ProgramAccount":
        """Return the account of a new program.

        Parameters
        ----------
        budget : int
            Tokens that all turns of the program may generate.
        max_turn_tokens : int
            Tokens that one turn may generate.
        """
        return cls(budget, held=outage_reserve(budget, max_turn_tokens))

    @property
    def has_reserve(self) -> bool:
        """Whether the slot owner may lend a part of the budget."""
        return bool(self.held) and not self.released

    @property
    def grantable(self) -> int:
        """Total number of tokens that may be granted without asking the slot owner."""
        return self.budget - self.held if self.has_reserve else self.budget

    def with_reserve_charged(self) -> "ProgramAccount":
        """Return the account with its reserve charged as if it had been lent."""
        return replace(self, granted=self.granted + self.held, released=True)

    def with_loans_charged(
        self, tokens: int, holders: tuple[str, ...]
    ) -> "ProgramAccount":
        """Return the account with loans charged that were made during an outage.

        If the total exceeds the grantable tokens, the reserve counts as released, so
        that the slot owner lends no more of it.
        """
        new_holders = tuple(h for h in holders if h not in self.holders)
        granted = self.granted + tokens
        return replace(
            self,
            granted=granted,
            holders=self.holders + new_holders,
            released=self.released or granted > self.grantable,
        )


@dataclass(frozen=True, slots=True)
class Granted:
    """Tokens granted to a host, and the account to write before they are spent."""

    tokens: int
    account: ProgramAccount


def outage_reserve(budget: int, max_turn_tokens: int) -> int:
    """Return the size of the reserve for outages of the store, in tokens.

    Parameters
    ----------
    budget : int
        Tokens that all turns of the program may generate.
    max_turn_tokens : int
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
    """The grantable tokens do not suffice for the turn at hand."""

    account: ProgramAccount


def grant_tokens(
    account: ProgramAccount, host: str, missing: int, max_turn_tokens: int
) -> Granted | Exhausted:
    """Grant tokens of a program's budget to a host.

    Parameters
    ----------
    account : ProgramAccount
    host : str
        Host that requests the tokens.
    missing : int
        Tokens that the host lacks for the turn at hand.
    max_turn_tokens : int
        Tokens that one turn may generate.
    """
    remaining = account.grantable - account.granted
    if remaining < missing:
        return Exhausted(account)
    wanted = max(MIN_GRANT_TURNS * max_turn_tokens, int(remaining * GRANT_FRACTION))
    # Tokens for one turn are left, because the tokens of a host that fails are lost.
    tokens = max(missing, min(wanted, remaining - max_turn_tokens))
    holders = account.holders
    if host not in holders:
        holders = (*holders, host)
    taken = replace(account, granted=account.granted + tokens, holders=holders)
    return Granted(tokens, taken)
