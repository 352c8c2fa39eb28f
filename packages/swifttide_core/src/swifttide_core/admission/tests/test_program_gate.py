"""Admission of new programs, depending on the load of the targets."""

import pytest

from swifttide_core.admission import ProgramAdmitted, ProgramGate, ProgramRefused

PROGRAMS = [f"program-{i}" for i in range(2_000)]


def gate_after_load(load: float, seconds: float) -> ProgramGate:
    """Return a gate that was updated with a constant load for some time."""
    gate = ProgramGate()
    for tenth in range(int(seconds * 10) + 1):
        gate.update_load(tenth / 10, load)
    return gate


def admitted_programs(gate: ProgramGate, load: float) -> set[str]:
    """Return the programs that a gate admits."""
    return {p for p in PROGRAMS if gate.decide(load, p) == ProgramAdmitted()}


class TestAdmittedFraction:
    """Adaptation of the admitted fraction to the load."""

    def test_all_programs_are_admitted_below_capacity(self):
        assert admitted_programs(gate_after_load(0.9, 60.0), 0.9) == set(PROGRAMS)

    @pytest.mark.parametrize("seconds, share", [(2.0, 0.82), (8.0, 0.45)])
    def test_fraction_falls_while_turns_queue_at_targets(self, seconds, share):
        gate = gate_after_load(1.5, seconds)
        assert gate.admitted_fraction == pytest.approx(share, rel=0.02)
        assert len(admitted_programs(gate, 1.0)) == pytest.approx(
            share * 2_000, rel=0.05
        )

    def test_fraction_grows_again_below_capacity(self):
        gate = gate_after_load(1.5, 8.0)
        for tenth in range(81, 141):
            gate.update_load(tenth / 10, 0.4)
        assert gate.admitted_fraction == 1.0

    def test_fraction_never_falls_to_zero(self):
        """Guards against a gate that stays closed after a long overload.

        Without any admitted program it would not be found out that targets are free.
        """
        assert admitted_programs(gate_after_load(100.0, 600.0), 0.0)

    def test_long_pause_between_updates_counts_little(self):
        """Guards against an old load that counts for the whole time since its update.

        A host gets no turns for a minute after a high load. If that load counted for
        the whole minute, nearly all programs would be refused.
        """
        gate = ProgramGate()
        gate.update_load(0.0, 2.0)
        gate.update_load(60.0, 2.0)
        assert gate.admitted_fraction == pytest.approx(0.9)


class TestProgramRefused:
    """Choice of the refused programs and their retry times."""

    def test_same_programs_are_admitted_at_each_host_and_retry(self):
        """Guards against refused programs that are admitted at another host.

        Such a program would start too late to end in time, and take the place of one
        that has just arrived.
        """
        first, second = gate_after_load(1.5, 8.0), gate_after_load(1.5, 8.0)
        assert (
            admitted_programs(first, 1.0)
            == admitted_programs(second, 1.0)
            == admitted_programs(first, 1.0)
        )

    def test_no_program_is_admitted_at_maximum_load(self):
        """Guards against a burst within a second, before the fraction is adapted."""
        gate = ProgramGate()
        assert gate.decide(1.25, "program") == ProgramRefused(0.2)

    def test_retry_time_is_longer_outside_the_admitted_fraction(self):
        gate = gate_after_load(1.5, 8.0)
        answers = {gate.decide(2.0, p) for p in PROGRAMS}
        assert answers == {ProgramRefused(0.2), ProgramRefused(1.2)}
