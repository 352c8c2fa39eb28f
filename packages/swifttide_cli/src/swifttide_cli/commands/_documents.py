"""What the commands on documents share."""

import difflib
import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Result

from swifttide_cli.api import NO_VERSION, OperatorClient, StoredDocument
from swifttide_cli.commands._wait import WaitOptions
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure, Report
from swifttide_core.checks import FieldError, load_json_with_comments
from swifttide_core.documents import (
    Document,
    DocumentKind,
    check_document,
    document_name,
)


def read_document(kind: DocumentKind, file: str) -> Result[Document, Failure]:
    """Read and check a file with a document."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        message = f"{file}: can't be read ({type(exc).__name__})"
        advice = "check the name and rights of the file."
        return Error(Failure(ExitCode.INVALID, message, advice))
    return (
        load_json_with_comments(text)
        .bind(lambda raw: check_document(kind, raw))
        .map_error(lambda errors: invalid_file(file, errors))
    )


def invalid_file(file: str, errors: Iterable[FieldError]) -> Failure:
    """Return the failure of a file that doesn't pass its check."""
    errors = tuple(errors)
    return Failure(
        code=ExitCode.INVALID,
        message=f"{file}: {len(errors)} error{'s' if len(errors) > 1 else ''}",
        advice="mend the file; `swifttide check` reads it without sending it.",
        details=tuple(str(e) for e in errors),
        data={
            "errors": [
                {"path": e.path, "got": e.got, "expected": e.expected} for e in errors
            ]
        },
    )


def put_document(
    client: OperatorClient,
    kind: DocumentKind,
    document: Document,
    base: int,
    wait: WaitOptions,
) -> Result[Report, Failure]:
    """Send an edit and report its version."""
    name = document_name(kind, document)
    # Through JSON, so that tuples become the arrays that reading back returns.
    members = msgspec.json.decode(msgspec.json.encode(document))

    def report(version: int) -> Result[Report, Failure]:
        accepted = Report(
            data={"kind": str(kind), "name": name, "version": version},
            lines=(f"Accepted {kind} {name} as version {version}.",),
        )
        return wait.finish(client, accepted, version)

    return (
        client.put(str(kind), name, members, base)
        .map_error(lambda failure: _show_both(failure, kind, members, base))
        .bind(report)
    )


def list_documents(
    client: OperatorClient,
    kind: DocumentKind,
    columns: tuple[str, ...],
) -> Result[Report, Failure]:
    """Report all documents of a kind, a column for each of some members."""

    def report(found: list[StoredDocument]) -> Report:
        rows = tuple(
            (d.name, d.version, *(d.document.get(c) for c in columns)) for d in found
        )
        return Report(
            data=[msgspec.to_builtins(d) for d in found],
            columns=("NAME", "VERSION", *(_head(c) for c in columns)),
            rows=rows,
        )

    return client.documents(str(kind)).map(report)


def show_document(
    client: OperatorClient, kind: DocumentKind, name: str
) -> Result[Report, Failure]:
    """Report one document, with the version to give as ``--base``."""

    def report(stored: StoredDocument) -> Report:
        lines = (f"// version {stored.version}", _pretty(stored.document))
        return Report(data=msgspec.to_builtins(stored), lines=lines)

    return client.document(str(kind), name).map(report)


def change_document(
    client: OperatorClient,
    kind: DocumentKind,
    name: str,
    change: Callable[[dict[str, Any] | None], dict[str, Any]],
    wait: WaitOptions,
    base: int | None = None,
) -> Result[Report, Failure]:
    """Read a document, change it and send it with the version that was read."""
    match client.document(str(kind), name):
        case Result(tag="ok", ok=stored):
            members = change(stored.document)
            base = stored.version if base is None else base
        case Result(error=failure) if failure.code is ExitCode.NOT_FOUND:
            members = change(None)
            base = NO_VERSION if base is None else base
        case Result(error=failure):
            return Error(failure)
    checked = check_document(kind, members)
    return checked.map_error(lambda errors: invalid_file(name, errors)).bind(
        lambda document: put_document(client, kind, document, base, wait)
    )


def _show_both(
    failure: Failure, kind: DocumentKind, mine: dict[str, Any], base: int
) -> Failure:
    """Show both versions of an edit that lost a race.

    Two operators edit one profile. The second would otherwise undo the first one's
    edit without either of them noticing.
    """
    problem = failure.data.get("problem", {})
    if failure.code is not ExitCode.CONFLICT or "current_version" not in problem:
        return failure
    version = problem["current_version"]
    theirs = problem.get("current_document")
    diff = difflib.unified_diff(
        _pretty(theirs).splitlines(),
        _pretty(mine).splitlines(),
        f"current version {version}",
        f"yours, based on version {base}",
        lineterm="",
        n=100,
    )
    again = f"send it again with --base {version}"
    return Failure(
        code=ExitCode.CONFLICT,
        message=f"the {kind} has changed: version {version} is current",
        advice=f"merge what differs into your file, then {again}.",
        details=tuple(diff) or ("both hold the same members",),
        data={
            "current_version": version,
            "current_document": theirs,
            "your_base": base,
            "your_document": mine,
        },
    )


def _pretty(members: Any) -> str:
    return json.dumps(members, indent=2, sort_keys=True, ensure_ascii=False)


def _head(member: str) -> str:
    return member.upper().replace("_", " ")


def history_report(found: list[Any]) -> Report:
    """Report edits, the newest last."""
    rows = tuple(
        (
            c.version,
            c.kind,
            c.name,
            "removed" if c.document is None else "put",
            c.operator,
        )
        for c in found
    )
    return Report(
        data=[msgspec.to_builtins(c) for c in found],
        columns=("VERSION", "KIND", "NAME", "EDIT", "OPERATOR"),
        rows=rows,
    )
