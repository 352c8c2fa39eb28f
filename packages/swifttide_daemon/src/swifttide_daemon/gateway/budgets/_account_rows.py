"""Accounts of programs as rows of the store."""

import hashlib

import msgspec

from swifttide_core.budgets import ProgramAccount, outage_reserve
from swifttide_daemon.gateway.store._shared_store import RowKey

TABLE = "budgets"


class _AccountRow(msgspec.Struct):
    """An account as it lies in the store.

    ``mark`` names the last transaction. A host whose answer was lost sees by it
    whether its own took effect.
    """

    budget: int
    granted: int
    holders: list[str]
    mark: str = ""
    released: bool = False
    held: int | None = None
    """None in a row of an earlier release, which held back a quarter."""


def encode_account(account: ProgramAccount, mark: str) -> bytes:
    """Return the value of an account's row."""
    row = _AccountRow(
        account.budget,
        account.granted,
        list(account.holders),
        mark,
        account.released,
        account.held,
    )
    return msgspec.json.encode(row)


def decode_account(value: bytes) -> tuple[ProgramAccount, str]:
    """Return an account and the mark of the transaction that wrote it."""
    row = msgspec.json.decode(value, type=_AccountRow)
    held = outage_reserve(row.budget, 0) if row.held is None else row.held
    holders = tuple(row.holders)
    account = ProgramAccount(row.budget, row.granted, holders, row.released, held)
    return account, row.mark


def account_row_key(key: str) -> RowKey:
    """Return where the account of a program lies, by the program's key.

    256 parts: each takes a few hundred transactions a second at most.
    """
    return RowKey(TABLE, key[:2], key)


def program_key(customer: str, program: str) -> str:
    """Return the key of a program's account.

    A digest: ids come from callers, may be of any length, and two customers may use
    the same one.
    """
    text = f"{customer}\0{program}".encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()
