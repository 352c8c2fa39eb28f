"""``swifttide key``: keys of customers and operators."""

import hashlib
import secrets
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec
from expression import Error, Ok, Result

from swifttide_cli.api import NO_VERSION, OperatorClient, StoredDocument
from swifttide_cli.commands._documents import invalid_file, put_document
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._wait import WaitOptions
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report
from swifttide_core.checks import check_name
from swifttide_core.documents import DocumentKind, KeyGrant

KEY_BYTES = 32
KEY_PREFIX = "st-"
"""Lets secret scanners find a key that was committed by mistake."""

SHORTEST_HASH = 8
"""Digits by which `withdraw` finds a key: enough to tell thousands apart."""

_SHOWN_HASH = 16


@cappa.command(
    name="grant",
    help="Make a key and print it once.",
    description="Only the key's SHA-256 is sent and stored: a lost key can't be shown "
    "again, only withdrawn.",
)
@dataclass(frozen=True)
class KeyGrantCommand(WaitOptions):
    """Make a key.

    Parameters
    ----------
    customer : str
        Customer whose requests come with it.
    operator : bool
        Make an operator's key instead.
    """

    customer: Annotated[
        str, cappa.Arg(long="--customer", help="Customer that the key is for.")
    ] = ""
    operator: Annotated[
        bool, cappa.Arg(long="--operator", help="Make an operator's key instead.")
    ] = False

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        if bool(self.customer) == self.operator:
            message = "a key is for one customer, or for an operator"
            advice = "give either --customer NAME or --operator."
            return Error(Failure(ExitCode.USAGE, message, advice))
        errors = () if self.operator else check_name("customer", self.customer)
        if errors:
            return Error(invalid_file("--customer", errors))
        return options.client().bind(self._grant)

    def _grant(self, client: OperatorClient) -> Result[Report, Failure]:
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        grant = KeyGrant(key_hash, customer=self.customer, operator=self.operator)
        stored = put_document(
            client, DocumentKind.KEY, grant, NO_VERSION, WaitOptions()
        )
        match stored:
            case Result(tag="ok", ok=found):
                return self._report(client, key, key_hash, found)
            case Result(error=failure):
                return Error(_with_hash(failure, key_hash))

    def _report(
        self, client: OperatorClient, key: str, key_hash: str, stored: Report
    ) -> Result[Report, Failure]:
        """Report the key, also when the fleet doesn't have it in force in time.

        The key exists only here. A wait that runs out must not lose it.
        """
        version = stored.data["version"]
        data = {"key": key, "key_hash": key_hash, "version": version}
        lines = (key,)
        notes = (
            f"{key_hash[:_SHOWN_HASH]} is accepted as version {version}; "
            "the key is shown only now",
        )
        waited = self.finish(client, Report(data), version)
        match waited:
            case Result(tag="ok", ok=report):
                return Ok(Report(report.data, (*lines, *report.lines[1:]), notes=notes))
            case Result(error=failure):
                notes = (*notes, failure.message, *failure.details)
                return Ok(Report({**data, "in_force": False}, lines, notes=notes))


@cappa.command(
    name="withdraw",
    help="Withdraw a key; it stops working within seconds.",
    description="A withdrawn key can't be granted again.",
)
@dataclass(frozen=True)
class KeyWithdraw(WaitOptions):
    """Withdraw a key.

    Parameters
    ----------
    key_hash : str
        Hash of the key, or its first digits.
    """

    key_hash: Annotated[
        str,
        cappa.Arg(
            value_name="HASH", help="Hash as in `key list`, or its first digits."
        ),
    ]

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return options.client().bind(
            lambda c: (
                c.documents(str(DocumentKind.KEY))
                .bind(self._find)
                .bind(lambda stored: self._withdraw(c, stored))
            )
        )

    def _find(self, found: list[StoredDocument]) -> Result[StoredDocument, Failure]:
        if len(self.key_hash) < SHORTEST_HASH:
            message = f"{len(self.key_hash)} digits of a hash don't name one key"
            advice = f"give {SHORTEST_HASH} digits or more, as in `swifttide key list`."
            return Error(Failure(ExitCode.USAGE, message, advice))
        matching = [d for d in found if d.name.startswith(self.key_hash)]
        if len(matching) == 1:
            return Ok(matching[0])
        message = f"{len(matching)} keys have a hash that starts so"
        advice = "give the hash, not the key, as in `swifttide key list`."
        return Error(Failure(ExitCode.NOT_FOUND, message, advice))

    def _withdraw(
        self, client: OperatorClient, stored: StoredDocument
    ) -> Result[Report, Failure]:
        grant = msgspec.convert({**stored.document, "withdrawn": True}, KeyGrant)
        return put_document(client, DocumentKind.KEY, grant, stored.version, self)


@cappa.command(name="list", help="List the keys by their hashes.")
@dataclass(frozen=True)
class KeyList:
    """List the keys."""

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        return (
            options.client()
            .bind(lambda c: c.documents(str(DocumentKind.KEY)))
            .map(_list_report)
        )


@cappa.command(name="key", help="Keys of customers and operators.")
@dataclass(frozen=True)
class Key:
    """Commands on keys."""

    command: Annotated[KeyGrantCommand | KeyWithdraw | KeyList, cappa.Subcommand]


def _list_report(found: list[StoredDocument]) -> Report:
    rows = tuple(
        (
            d.name[:_SHOWN_HASH],
            d.version,
            d.document.get("customer") or "(operator)",
            "withdrawn" if d.document.get("withdrawn") else "granted",
        )
        for d in found
    )
    return Report(
        data=[msgspec.to_builtins(d) for d in found],
        columns=("HASH", "VERSION", "CUSTOMER", "STATE"),
        rows=rows,
    )


def _with_hash(failure: Failure, key_hash: str) -> Failure:
    if failure.code is not ExitCode.MAY_HAVE_APPLIED:
        return failure
    shown = key_hash[:_SHOWN_HASH]
    return Failure(
        code=failure.code,
        message=failure.message,
        advice=f"withdraw {shown} if `swifttide key list` shows it, and grant again.",
        details=failure.details,
        data={"key_hash": key_hash},
    )
