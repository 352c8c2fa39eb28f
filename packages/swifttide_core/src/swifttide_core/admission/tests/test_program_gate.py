"""Which new programs are let in, by how full targets are."""

import pytest

from swifttide_core.admission import ProgramAdmitted, ProgramGate, ProgramRefused

PROGRAMS = [f"program-{i}" for i in range(2_000)]


def gate_after(load: float, seconds: float) -> ProgramGate:
    """Return a gate that has seen a load for some time."""
    gate = ProgramGate()
    for tenth in range(int(seconds * 10) + 1):
        gate.update_load(tenth / 10, load)
    return gate


def admitted_programs(gate: ProgramGate, load: float) -> set[str]:
    """Return the programs that a gate lets in."""
    return {p for p in PROGRAMS if gate.decide(load, p) == ProgramAdmitted()}


class TestAdmittedFraction:
    """The share of new programs follows the load."""

    def test_all_programs_are_admitted_below_capacity(self):
        assert admitted_programs(gate_after(0.9, 60.0), 0.9) == set(PROGRAMS)

    @pytest.mark.parametrize("seconds, share", [(2.0, 0.82), (8.0, 0.45)])
    def test_fraction_falls_while_turns_queue_at_targets(self, seconds, share):
        gate = gate_after(1.5, seconds)
        assert gate.admitted_fraction == pytest.approx(share, rel=0.02)
        assert len(admitted_programs(gate, 1.0)) == pytest.approx(
            share * 2_000, rel=0.05
        )

    def test_fraction_grows_again_below_capacity(self):
        gate = gate_after(1.5, 8.0)
        for tenth in range(81, 141):
            gate.update_load(tenth / 10, 0.4)
        assert gate.admitted_fraction == 1.0

    def test_fraction_never_falls_to_zero(self):
        """Targets that were swamped for minutes are free again, but nobody is let in
        who could show it.
        """
        assert admitted_programs(gate_after(100.0, 600.0), 0.0)

    def test_long_pause_between_updates_counts_little(self):
        """A host gets no turns for a minute. Its last count was high, and taken for
        the whole minute it would shut out nearly everybody.
        """
        gate = ProgramGate()
        gate.update_load(0.0, 2.0)
        gate.update_load(60.0, 2.0)
        assert gate.admitted_fraction == pytest.approx(0.9)


class TestProgramRefused:
    """Who is turned away, and when to come back."""

    def test_same_programs_are_admitted_at_each_host_and_retry(self):
        """A program that is turned away asks again at another host. Let in there, it
        would begin too late to end in time, in the place of one that has just come.
        """
        first, second = gate_after(1.5, 8.0), gate_after(1.5, 8.0)
        assert (
            admitted_programs(first, 1.0)
            == admitted_programs(second, 1.0)
            == admitted_programs(first, 1.0)
        )

    def test_no_program_is_admitted_at_maximum_load(self):
        """Everybody asks within a second, and the share hasn't followed yet."""
        gate = ProgramGate()
        assert gate.decide(1.25, "program") == ProgramRefused(0.2)

    def test_retry_time_is_longer_outside_the_admitted_fraction(self):
        gate = gate_after(1.5, 8.0)
        answers = {gate.decide(2.0, p) for p in PROGRAMS}
        assert answers == {ProgramRefused(0.2), ProgramRefused(1.2)}
