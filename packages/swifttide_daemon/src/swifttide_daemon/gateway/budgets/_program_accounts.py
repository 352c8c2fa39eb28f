"""Reads and writes the token accounts of programs in the shared store."""

import uuid
from dataclasses import dataclass

from swifttide_core.budgets import ProgramAccount
from swifttide_daemon.gateway.budgets._account_rows import (
    MAX_EARLIER_MARKS,
    TABLE,
    account_row_key,
    decode_account,
    encode_account,
)
from swifttide_daemon.gateway.budgets._reservation import (
    LocalProgramBudget,
    UnansweredWrite,
)
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Condition,
    Conflict,
    Put,
    Rows,
    SharedStore,
    StoredRow,
    Transaction,
    Unavailable,
)
from swifttide_daemon.gateway.store._unusable_rows import log_unusable_row
from swifttide_daemon.telemetry import EventLog

ACCOUNT_RETENTION_SECONDS = 7_200.0
"""Time for which an account is kept after its last write. The program may be active
without further writes, because tokens move between hosts without one, and a stopped
program may continue later."""

OUTAGE_RETRY_AFTER_SECONDS = 1.2
"""Delay before a retry while the store is unavailable or hosts contend for an account.
An outage lasts seconds, and a caller that retries sooner would use up its attempts
before the store is back."""


@dataclass(frozen=True, slots=True)
class StoreUnavailable(Refusal):
    """The store gave no answer, so that an account could not be read or written.

    Parameters
    ----------
    may_have_applied : bool
        Whether a write may have taken effect, or may do so later.
    """

    may_have_applied: bool = False


class ProgramAccounts:
    """Token accounts of programs, one row each.

    Parameters
    ----------
    store : SharedStore
    reaper : RowReaper
        Removes the rows after their retention time.
    log : EventLog
    """

    def __init__(self, store: SharedStore, reaper: RowReaper, log: EventLog):
        self._store = store
        self._reaper = reaper
        self._log = log

    async def write(self, known: LocalProgramBudget, account: ProgramAccount) -> bool:
        """Write an account on condition that its row has the known version.

        Returns whether the write took effect. After a conflict, `known` holds the
        account that is stored. Tokens that an earlier write without an answer granted
        are added to the pool of `known` as soon as its effect is known.

        Raises
        ------
        StoreUnavailable
            If the store gives no answer.
        Refusal
            With status 503 if the stored row can't be read.
        """
        mark = uuid.uuid4().hex[:16]
        place = account_row_key(known.key)
        tx = Transaction(
            conditions=(Condition(place, known.version),),
            puts=(Put(place, encode_account(account, mark, known.marks)),),
        )
        before = known.account.granted if known.account else 0
        match await self._store.commit(tx):
            case Applied(version, _):
                if known.unanswered is not None:
                    # It had the same condition, so it can't take effect any more.
                    known.pool.add(max(0, -known.unanswered.tokens))
                    known.unanswered = None
                known.account, known.version = account, version
                known.marks = (mark, *known.marks)[:MAX_EARLIER_MARKS]
                self._reaper.remove_after(place, version, ACCOUNT_RETENTION_SECONDS)
                return True
            case Conflict(rows):
                return self._apply_stored_account(known, rows, mark)
            case Unavailable(may_have_applied=may_have_applied):
                # The transaction may still take effect later. The version of the row
                # then differs from the known one, so that the next transaction of this
                # host conflicts and reads the account.
                if may_have_applied and known.unanswered is None:
                    tokens = account.granted - before
                    known.unanswered = UnansweredWrite(mark, tokens)
                raise StoreUnavailable(
                    503,
                    "store_unavailable",
                    OUTAGE_RETRY_AFTER_SECONDS,
                    may_have_applied,
                )

    async def read(self, known: LocalProgramBudget) -> bool:
        """Read an account into `known`; return whether the store gave an answer.

        Raises
        ------
        Refusal
            With status 503 if the row can't be read.
        """
        key = known.key
        place = account_row_key(key)
        match await self._store.read(TABLE, place.part, key, key + "\0"):
            case Rows(rows):
                self._apply_stored_account(known, rows)
                return True
            case Unavailable():
                return False

    def _apply_stored_account(
        self, known, rows: tuple[StoredRow, ...], mark: str | None = None
    ) -> bool:
        """Update `known` from the stored rows.

        Returns whether the transaction with the id `mark` took effect.
        """
        found = next((r for r in rows if r.value is not None), None)
        if found is None:
            known.account, known.version, known.marks = None, 0, ()
            return False
        try:
            known.account, known.marks = decode_account(found.value)
        except ValueError as exc:
            # What was granted isn't known: more tokens might exceed the budget.
            log_unusable_row(self._log, found, str(exc))
            raise Refusal(
                503, "account_unreadable", OUTAGE_RETRY_AFTER_SECONDS
            ) from exc
        unanswered = known.unanswered
        if unanswered is not None and found.version != known.version:
            known.unanswered = None
            if unanswered.mark in known.marks:
                known.pool.add(max(0, unanswered.tokens))
        known.version = found.version
        return mark in known.marks
