"""Runs one program and checks every answer against the oracle."""

import time

from swifttide_standins.engine import expected_text
from swifttide_standins.loadgen._call_record import CallRecord
from swifttide_standins.loadgen._call_spec import CallSpec
from swifttide_standins.loadgen._client import Client
from swifttide_standins.loadgen._outcome import Answered
from swifttide_standins.loadgen._program_plan import ProgramPlan
from swifttide_standins.loadgen._program_record import ProgramRecord


class ProgramRunner:
    """One program under way.

    Parameters
    ----------
    client : Client
        Sends its calls.
    plan : ProgramPlan
        What it does.

    Notes
    -----
    An engine's words are a function of all messages so far. An answer that equals
    the oracle's therefore shows that the history was whole, in order and nobody
    else's.
    """

    def __init__(self, client: Client, plan: ProgramPlan) -> None:
        self._client = client
        self._plan = plan
        self._calls: list[CallRecord] = []
        self._wrong: list[str] = []

    def run(self) -> ProgramRecord:
        """Run the program to its end, or to the first turn that fails."""
        finished = self._run_root()
        return ProgramRecord(
            self._plan.program, tuple(self._calls), tuple(self._wrong), finished
        )

    def _run_root(self) -> bool:
        plan = self._plan
        history: list[dict[str, str]] = []
        for turn in range(1, plan.turns + 1):
            if not self._run_turn(plan.program, "", turn, history):
                return False
            if turn in plan.services:
                self._call_service(turn, *plan.services[turn])
            if turn == plan.sub_agent_after and not self._run_sub_agent():
                return False
            time.sleep(plan.pause_seconds)
        return True

    def _run_sub_agent(self) -> bool:
        plan = self._plan
        history: list[dict[str, str]] = []
        turns = range(1, plan.sub_agent_turns + 1)
        name = f"{plan.program}-sub"
        return all(self._run_turn(name, plan.program, t, history) for t in turns)

    def _run_turn(
        self, program: str, parent: str, turn: int, history: list[dict[str, str]]
    ) -> bool:
        content = f"turn {turn} of {program}"
        max_tokens = self._plan.max_tokens
        spec = CallSpec.from_turn(program, parent, turn, content, max_tokens)
        record = self._client.call(spec)
        self._calls.append(record)
        if not isinstance(record.outcome, Answered):
            return False
        history.append({"role": "user", "content": content})
        expected = expected_text(history, max_tokens)
        if record.outcome.text != expected:
            got = record.outcome.text
            self._wrong.append(f"{content}: got {got!r}, expected {expected!r}")
        history.append({"role": "assistant", "content": expected})
        return True

    def _call_service(self, turn: int, service: str, path: str) -> None:
        key = f"{self._plan.program}-{turn}"
        spec = CallSpec.from_service(self._plan.program, service, path, key)
        self._calls.append(self._client.call(spec))
