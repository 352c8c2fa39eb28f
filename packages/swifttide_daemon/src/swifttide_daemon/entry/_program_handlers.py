"""HTTP handlers with which callers read and end their programs."""

from dataclasses import asdict, replace

from expression import Error, Ok, Result

from swifttide_core.documents import DocumentKind, Target
from swifttide_core.programs import ProgramRow, ProgramState
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.entry._authenticator import Authenticator
from swifttide_daemon.entry._call_headers import ID_PATTERN
from swifttide_daemon.programs import ProgramRegistry, platform_refusal
from swifttide_daemon.store import Committed, Conflict, new_id
from swifttide_daemon.targets import EngineClient
from swifttide_daemon.web import Request, Response


class ProgramHandlers:
    """Handlers that read and end programs.

    Parameters
    ----------
    authenticator : Authenticator
    registry : ProgramRegistry
        Gives access to stored rows. Reports the latency of an ended program if this
        host holds it.
    config : ConfigService
    engines : EngineClient
        Sends engines the order to release the cache of a program that ended.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        registry: ProgramRegistry,
        config: ConfigService,
        engines: EngineClient,
    ) -> None:
        self.authenticator = authenticator
        self.registry = registry
        self.store = registry.store
        self.config = config
        self.engines = engines

    def show(self, req: Request, program: str) -> Response:
        """Answer ``GET /v1/programs/{program}`` with the state and the history."""
        identity = self.authenticator.customer(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return self.show_for_customer(identity.ok.customer, program)

    def end(self, req: Request, program: str) -> Response:
        """Answer ``DELETE /v1/programs/{program}`` by ending the program."""
        identity = self.authenticator.customer(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return self.end_for_customer(identity.ok.customer, program)

    def show_for_customer(self, customer: str, program: str) -> Response:
        """Return a program of a customer, with its history."""
        row = self._read(customer, program)
        if row.is_error():
            return Response.from_refusal(row.error)
        turns = []
        for name in row.ok.chunks:
            chunk = self.store.chunk(name)
            if chunk.is_error():
                return Response.from_refusal(chunk.error)
            turns.append(asdict(chunk.ok))
        return Response.from_json({**_summary(row.ok), "history": turns})

    def end_for_customer(self, customer: str, program: str) -> Response:
        """End a program of a customer and release its caches at engines."""
        row = self._read(customer, program)
        if row.is_error():
            return Response.from_refusal(row.error)
        if row.ok.state is not ProgramState.ENDED:
            row = self._write_ended(row.ok)
            if row.is_error():
                return Response.from_refusal(row.error)
        # Has an effect only if this host holds the program. Another holder reports
        # the latency when the program has been silent for the retention time.
        self.registry.report_ended(customer, row.ok.root)
        self._release_caches(row.ok)
        return Response.from_json(_summary(row.ok))

    def _write_ended(self, row: ProgramRow) -> Result[ProgramRow, Refusal]:
        """Write the state "ended" to the row of a program.

        The version of the row changes, so the holder notices it at its next write.
        """
        ended = replace(row, state=ProgramState.ENDED)
        outcome = self.store.write_rows((ended,), new_id())
        if outcome.is_error():
            verdict = Verdict.NOT_RUN
            if outcome.error.may_have_committed:
                verdict = Verdict.MAY_HAVE_RUN
            return Error(platform_refusal(verdict))
        match outcome.ok:
            case Committed(versions):
                return Ok(replace(ended, version=versions[0]))
            case Conflict():
                return Error(
                    Refusal(
                        Reason.CONFLICT,
                        "the program's row was changed at the same time",
                        retry_after_seconds=0.5,
                    )
                )

    def _release_caches(self, row: ProgramRow) -> None:
        """Order the engines to release the caches of a program.

        An engine that doesn't receive the order is reconciled later.
        """
        program = "/".join((row.customer, row.root, row.program))
        for name in row.targets:
            target = self.config.state.get(DocumentKind.TARGET, name)
            if isinstance(target, Target):
                self.engines.release_cache(target, program, row.version)

    def _read(self, customer: str, program: str) -> Result[ProgramRow, Refusal]:
        if not ID_PATTERN.match(program):
            return Error(Refusal(Reason.BAD_REQUEST, "got an invalid program id"))
        row = self.store.read(customer, program)
        if row.is_error():
            return row
        if row.ok is None:
            # A program of another customer gives the same answer, so that a caller
            # can't find out whether it exists.
            return Error(Refusal(Reason.NOT_FOUND, f"unknown program {program!r}"))
        return Ok(row.ok)


def _summary(row: ProgramRow) -> dict[str, object]:
    return {
        "customer": row.customer,
        "program": row.program,
        "root": row.root,
        "parent": row.parent,
        "profile": row.profile,
        "state": row.state.value,
        "turns": row.turns,
        "total_tokens": row.total_tokens,
        "budget_used": row.budget_used,
        "budget_reserved": row.budget_reserved,
        "targets": list(row.targets),
    }
