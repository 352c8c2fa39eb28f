"""The account of a program's token budget that all hosts share.

Load pattern: turns of one program arrive at several hosts, some at once, and some
programs loop until they are stopped.

Without it: each host would let a looping program spend its budget anew, and engines
would work for nobody.

Grounds: a host takes half of what is left, so that a program which stays at one host
writes once or twice in its life, and one that moves still finds tokens elsewhere. At
least two turns' most are taken, as a turn rarely comes alone.
"""

from dataclasses import dataclass

SHARE_OF_REST = 0.5
"""Part of what is left that one host takes at once."""

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
        Tokens that hosts have taken and not given back.
    holders : tuple of str
        Hosts that took tokens; those that may give some back.
    """

    budget: int
    granted: int = 0
    holders: tuple[str, ...] = ()

    def given_back(self, tokens: int) -> "ProgramAccount":
        """Return the account after a host returned tokens that it didn't spend."""
        return ProgramAccount(self.budget, max(0, self.granted - tokens), self.holders)


@dataclass(frozen=True, slots=True)
class Granted:
    """Tokens for a host, and the account to write first."""

    tokens: int
    account: ProgramAccount


@dataclass(frozen=True, slots=True)
class Exhausted:
    """The budget doesn't hold one more turn."""

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
    rest = account.budget - account.granted
    if rest < missing:
        return Exhausted(account)
    tokens = max(missing, MIN_TURNS * most, int(rest * SHARE_OF_REST))
    tokens = min(tokens, rest)
    holders = account.holders
    if host not in holders:
        holders = (*holders, host)
    taken = ProgramAccount(account.budget, account.granted + tokens, holders)
    return Granted(tokens, taken)
