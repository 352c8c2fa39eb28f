"""Account of a program's token budget, shared by all hosts.

Decides how many tokens of the budget a host is granted, from the tokens granted so far
and the needs of the turn at hand. It serves a load in which turns of one program arrive
at several hosts, some of them concurrently, and some programs loop until they are
stopped. Without it, each host would let a program in an endless loop spend the budget
anew, and engines would do useless work.

A grant covers two turns of maximum size if possible. As a turn generates a quarter of
its maximum on average, a grant lasts for some five turns. Larger grants would save
writes, but all that a host holds is lost with it. So hosts also return what they hold
of a program that is idle.

The account grants the whole budget and nothing beyond it. Without the account, while
the store is unavailable, the owner of the program's slot may lend the tokens of one
turn of maximum size, by which a program may exceed its budget. Accounts and loans have
no tokens in common. So whatever was lent, and whoever forgot it, a program gets its
budget, and never more than one turn beyond it.
"""

from dataclasses import dataclass, replace

GRANT_TURNS = 2
"""Tokens of one grant in turns of maximum size, if as many remain."""


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
    """

    budget: int
    granted: int = 0
    holders: tuple[str, ...] = ()

    @property
    def is_overdrawn(self) -> bool:
        """Whether loans exceed the budget, so that nothing more may be lent."""
        return self.granted > self.budget

    def with_loans_charged(
        self, tokens: int, holders: tuple[str, ...]
    ) -> "ProgramAccount":
        """Return the account with loans charged that were made during an outage.

        Loans beyond the budget use up the turn by which it may be exceeded.
        """
        new_holders = tuple(h for h in holders if h not in self.holders)
        return replace(
            self,
            granted=self.granted + tokens,
            holders=self.holders + new_holders,
        )

    def with_tokens_returned(
        self, tokens: int, host: str, moved_to: str
    ) -> "ProgramAccount":
        """Return the account with unused tokens that a host has given back.

        Parameters
        ----------
        tokens : int
        host : str
            Host that returns them and has none left.
        moved_to : str
            Host to which it passed tokens before; empty if there is none.
        """
        holders = [h for h in self.holders if h != host]
        if moved_to and moved_to not in (host, *holders):
            holders.append(moved_to)
        return replace(self, granted=self.granted - tokens, holders=tuple(holders))


@dataclass(frozen=True, slots=True)
class Granted:
    """Tokens granted to a host, and the account to write before they are spent."""

    tokens: int
    account: ProgramAccount


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The remaining tokens do not suffice for the turn at hand."""

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
    remaining = account.budget - account.granted
    if remaining < missing:
        return Exhausted(account)
    # Tokens for one turn are left, because the tokens of a host that fails are lost.
    spare = remaining - max_turn_tokens
    tokens = max(missing, min(GRANT_TURNS * max_turn_tokens, spare))
    holders = account.holders
    if host not in holders:
        holders = (*holders, host)
    taken = replace(account, granted=account.granted + tokens, holders=holders)
    return Granted(tokens, taken)
