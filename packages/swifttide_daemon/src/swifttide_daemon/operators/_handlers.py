"""Handlers of the operator API, which every host of the fleet serves."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from swifttide_core.documents import DocumentKind, check_document, document_name
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.configuration import (
    Accepted,
    ConfigEditor,
    ConfigService,
    OutdatedVersion,
    UnknownOutcome,
)
from swifttide_daemon.entry import Authenticator, Identity, ProgramHandlers
from swifttide_daemon.programs import platform_refusal
from swifttide_daemon.store import PlatformClient
from swifttide_daemon.web import Request, Response

KEY_HASH_PREFIX_CHARACTERS = 8
"""Length of the prefix of the operator's key hash that is stored with an edit."""


class OperatorHandlers:
    """Handlers to edit the configuration, and to view it, the fleet and programs.

    Parameters
    ----------
    authenticator : Authenticator
    config : ConfigService
    editor : ConfigEditor
    platform : PlatformClient
    programs : ProgramHandlers
    """

    def __init__(
        self,
        authenticator: Authenticator,
        config: ConfigService,
        editor: ConfigEditor,
        platform: PlatformClient,
        programs: ProgramHandlers,
    ) -> None:
        self.authenticator = authenticator
        self.config = config
        self.editor = editor
        self.platform = platform
        self.programs = programs

    def list_documents(self, req: Request, kind: str) -> Response:
        """Answer ``GET /v1/operator/documents/{kind}`` with all documents of a kind."""
        checked = self._authorize(req, kind)
        if checked.is_error():
            return Response.from_refusal(checked.error)
        changes = self.config.state.latest_changes_of_kind(checked.ok[1])
        return Response.from_json(
            {
                "documents": [_document_view(change) for change in changes],
                "config_version": self.config.version,
            }
        )

    def show_document(self, req: Request, kind: str, name: str) -> Response:
        """Answer ``GET /v1/operator/documents/{kind}/{name}`` with one document."""
        checked = self._authorize(req, kind)
        if checked.is_error():
            return Response.from_refusal(checked.error)
        change = self.config.state.latest_change(checked.ok[1], name)
        if change is None or change.document is None:
            return Response.from_refusal(
                Refusal(
                    Reason.NOT_FOUND,
                    f"no {kind} {name!r} in the configuration of this host",
                )
            )
        return Response.from_json(_document_view(change))

    def put_document(self, req: Request, kind: str, name: str) -> Response:
        """Answer ``PUT /v1/operator/documents/{kind}/{name}``.

        The document is validated before it is stored; null removes it. An edit whose
        base version isn't the current version is refused with the current document.
        """
        checked = self._authorize(req, kind)
        if checked.is_error():
            return Response.from_refusal(checked.error)
        identity, of_kind = checked.ok
        body = _parse_edit(req.body)
        if body.is_error():
            return Response.from_refusal(body.error)
        document, base_version = body.ok
        if document is not None:
            decoded = check_document(of_kind, document)
            if decoded.is_error():
                return _invalid_document(decoded.error)
            if document_name(of_kind, decoded.ok) != name:
                return Response.from_refusal(
                    Refusal(
                        Reason.BAD_REQUEST,
                        f"got a document named {document_name(of_kind, decoded.ok)!r}, "
                        f"expected {name!r}",
                    )
                )
            document = msgspec.to_builtins(decoded.ok)
        outcome = self.editor.edit(
            of_kind,
            name,
            document,
            base_version,
            identity.key_hash[:KEY_HASH_PREFIX_CHARACTERS],
        )
        match outcome:
            case Accepted(version):
                self.config.refresh()
                return Response.from_json({"version": version})
            case OutdatedVersion(current_version, current_document):
                return Response.from_refusal(
                    Refusal(
                        Reason.CONFLICT,
                        f"{kind} {name!r} is at version {current_version}, the edit "
                        f"expected version {base_version}",
                    ),
                    current_version=current_version,
                    current_document=current_document,
                )
            case UnknownOutcome(may_have_committed):
                verdict = (
                    Verdict.MAY_HAVE_RUN if may_have_committed else Verdict.NOT_RUN
                )
                return Response.from_refusal(platform_refusal(verdict))

    def history(self, req: Request) -> Response:
        """Answer ``GET /v1/operator/history`` with all edits, newest last.

        The query parameters ``kind`` and ``name`` filter the edits.
        """
        identity = self.authenticator.operator(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        rows = self.platform.scan("config_log")
        if rows.is_error():
            return Response.from_refusal(platform_refusal())
        kind, name = req.param("kind"), req.param("name")
        changes = [row.value for row in rows.ok]
        wanted = [
            change
            for change in changes
            if kind in ("", change["kind"]) and name in ("", change["name"])
        ]
        return Response.from_json({"changes": wanted})

    def hosts(self, req: Request) -> Response:
        """Answer ``GET /v1/operator/hosts`` from the platform's lease rows."""
        identity = self.authenticator.operator(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        rows = self.platform.scan("hosts")
        if rows.is_error():
            return Response.from_refusal(platform_refusal())
        shown = ("host", "zone", "state", "incarnation", "config_version")
        return Response.from_json(
            {"hosts": [{k: row.value.get(k) for k in shown} for row in rows.ok]}
        )

    def targets(self, req: Request) -> Response:
        """Answer ``GET /v1/operator/targets`` from the configuration of this host."""
        identity = self.authenticator.operator(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return Response.from_json({"targets": self.config.targets()})

    def show_program(self, req: Request, customer: str, program: str) -> Response:
        """Answer ``GET /v1/operator/programs/{customer}/{program}``."""
        identity = self.authenticator.operator(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return self.programs.show_for_customer(customer, program)

    def end_program(self, req: Request, customer: str, program: str) -> Response:
        """Answer ``DELETE /v1/operator/programs/{customer}/{program}``."""
        identity = self.authenticator.operator(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return self.programs.end_for_customer(customer, program)

    def _authorize(
        self, req: Request, kind: str
    ) -> Result[tuple[Identity, DocumentKind], Refusal]:
        identity = self.authenticator.operator(req)
        if identity.is_error():
            return identity
        try:
            return Ok((identity.ok, DocumentKind(kind)))
        except ValueError:
            kinds = ", ".join(DocumentKind)
            return Error(
                Refusal(Reason.NOT_FOUND, f"got kind {kind!r}, expected one of {kinds}")
            )


def _document_view(change: Any) -> dict[str, Any]:
    return {
        "name": change.name,
        "version": change.version,
        "document": change.document,
    }


def _parse_edit(
    body: bytes,
) -> Result[tuple[dict[str, Any] | None, int | None], Refusal]:
    try:
        raw = msgspec.json.decode(body, type=dict[str, Any])
        document = msgspec.convert(raw.get("document"), dict[str, Any] | None)
        base = msgspec.convert(raw.get("base_version"), int | None)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Error(Refusal(Reason.BAD_REQUEST, f"invalid body: {exc}"))
    if "document" not in raw:
        return Error(Refusal(Reason.BAD_REQUEST, "the member 'document' is missing"))
    return Ok((document, base))


def _invalid_document(errors: tuple[Any, ...]) -> Response:
    detail = "; ".join(str(error) for error in errors)
    return Response.from_refusal(
        Refusal(Reason.BAD_REQUEST, detail), errors=[str(error) for error in errors]
    )
