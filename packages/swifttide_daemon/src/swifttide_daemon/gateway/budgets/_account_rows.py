"""Keys and encoding of the rows that hold the token accounts of programs.

Each program has one row in the shared store, with its budget and the tokens that were
granted to hosts.
"""

import hashlib
from typing import Annotated

import msgspec

from swifttide_core.budgets import ProgramAccount
from swifttide_core.checks import JsonDecoder
from swifttide_daemon.gateway.store._shared_store import RowKey

TABLE = "budgets"

MAX_EARLIER_MARKS = 7
"""Ids of earlier transactions in a row, 19 bytes each. A host asks again within a
second or two, in which few others write the same account."""

Tokens = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _AccountRow(msgspec.Struct):
    """Account of a program as stored in its row.

    ``mark`` is a random id of the transaction that wrote the row, and ``earlier_marks``
    are those of the transactions before it, the newest first. A host that lost the
    answer to its transaction looks for its id, to learn whether the transaction took
    effect.
    """

    budget: Tokens
    granted: Tokens
    holders: list[str]
    mark: str = ""
    earlier_marks: list[str] = []
    released: bool = True
    """Tells hosts of an earlier release, which reserved a part of a budget for loans,
    that they may grant the whole budget."""


_rows = JsonDecoder(_AccountRow)


def encode_account(
    account: ProgramAccount, mark: str, earlier_marks: tuple[str, ...] = ()
) -> bytes:
    """Return the row value of an account.

    Parameters
    ----------
    account : ProgramAccount
    mark : str
        Id of the transaction that writes the row.
    earlier_marks : tuple of str
        Ids of the transactions before it, the newest first.
    """
    row = _AccountRow(
        account.budget,
        account.granted,
        list(account.holders),
        mark,
        list(earlier_marks[:MAX_EARLIER_MARKS]),
    )
    return msgspec.json.encode(row)


def decode_account(value: bytes) -> tuple[ProgramAccount, tuple[str, ...]]:
    """Return the account in a row value and the ids of the transactions that wrote it.

    The newest id comes first.

    Raises
    ------
    ValueError
        The value is no account.
    """
    row = _rows.decode(value)
    account = ProgramAccount(row.budget, row.granted, tuple(row.holders))
    return account, (row.mark, *row.earlier_marks)


def account_row_key(key: str) -> RowKey:
    """Return the key of the row that holds the account of a program.

    The first two hexadecimal digits of the program key select one of 256 partitions,
    because one partition executes at most a few hundred transactions per second.
    """
    return RowKey(TABLE, key[:2], key)


def program_key(customer: str, program: str) -> str:
    """Return the key of a program's account, a digest in hexadecimal notation.

    Program ids are not used directly, because callers choose them, they may be of any
    length, and two customers may use the same id.
    """
    text = f"{customer}\0{program}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()
