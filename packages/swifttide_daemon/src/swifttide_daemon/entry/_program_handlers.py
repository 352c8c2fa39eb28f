"""What callers can ask about their programs."""

from dataclasses import asdict, replace

from expression import Error, Ok, Result

from swifttide_core.documents import DocumentKind, Target
from swifttide_core.programs import ProgramRow, ProgramState
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.entry._authenticator import Authenticator
from swifttide_daemon.entry._call_headers import NAME
from swifttide_daemon.programs import ProgramBook, platform_refusal
from swifttide_daemon.store import Committed, Conflict, new_id
from swifttide_daemon.targets import EngineClient
from swifttide_daemon.web import Request, Response


class ProgramHandlers:
    """Reading and ending programs.

    Parameters
    ----------
    authenticator : Authenticator
    book : ProgramBook
        Reads rows, and counts programs that end where they are held.
    config : ConfigService
    engines : EngineClient
        Told to drop the cache of a program that ended.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        book: ProgramBook,
        config: ConfigService,
        engines: EngineClient,
    ) -> None:
        self.authenticator = authenticator
        self.book = book
        self.store = book.store
        self.config = config
        self.engines = engines

    def show(self, req: Request, program: str) -> Response:
        """Answer ``GET /v1/programs/{program}``: state and history."""
        identity = self.authenticator.customer(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return self.show_of(identity.ok.customer, program)

    def end(self, req: Request, program: str) -> Response:
        """Answer ``DELETE /v1/programs/{program}``."""
        identity = self.authenticator.customer(req)
        if identity.is_error():
            return Response.from_refusal(identity.error)
        return self.end_of(identity.ok.customer, program)

    def show_of(self, customer: str, program: str) -> Response:
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

    def end_of(self, customer: str, program: str) -> Response:
        """End a program of a customer and release what it holds at engines."""
        row = self._read(customer, program)
        if row.is_error():
            return Response.from_refusal(row.error)
        if row.ok.state is not ProgramState.ENDED:
            row = self._end(row.ok)
            if row.is_error():
                return Response.from_refusal(row.error)
        # Known here if this host holds the program; another holder counts it once the
        # program has been silent for long.
        self.book.note_ended(customer, row.ok.root)
        self._release(row.ok)
        return Response.from_json(_summary(row.ok))

    def _end(self, row: ProgramRow) -> Result[ProgramRow, Refusal]:
        """Write that a program has ended; its holder learns of it at its next write."""
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
                        "a call of the program ended at the same moment",
                        retry_after_seconds=0.5,
                    )
                )

    def _release(self, row: ProgramRow) -> None:
        """Order the engines at once; one that doesn't hear it is reconciled later."""
        program = "/".join((row.customer, row.root, row.program))
        for name in row.targets:
            target = self.config.state.get(DocumentKind.TARGET, name)
            if isinstance(target, Target):
                self.engines.release_cache(target, program, row.version)

    def _read(self, customer: str, program: str) -> Result[ProgramRow, Refusal]:
        if not NAME.match(program):
            return Error(Refusal(Reason.BAD_REQUEST, "got an odd program id"))
        row = self.store.read(customer, program)
        if row.is_error():
            return row
        if row.ok is None:
            # The same answer for a program of another customer: its existence is
            # nobody else's business.
            return Error(Refusal(Reason.NOT_FOUND, f"no program {program!r}"))
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
