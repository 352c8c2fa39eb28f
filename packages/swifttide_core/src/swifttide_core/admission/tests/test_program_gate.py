"""Which new programs are let in, by how full targets are."""

import pytest

from swifttide_core.admission import Entered, ProgramGate, TurnedAway

PROGRAMS = [f"program-{i}" for i in range(2_000)]


def gate_after(load: float, seconds: float) -> ProgramGate:
    """Return a gate that has seen a load for some time."""
    gate = ProgramGate()
    for tenth in range(int(seconds * 10) + 1):
        gate.look(tenth / 10, load)
    return gate


def let_in(gate: ProgramGate, load: float) -> set[str]:
    """Return the programs that a gate lets in."""
    return {p for p in PROGRAMS if gate.ask(load, p) == Entered()}


class TestShare:
    """The share of new programs follows the load."""

    def test_lets_all_in_while_places_are_free(self):
        assert let_in(gate_after(0.9, 60.0), 0.9) == set(PROGRAMS)

    @pytest.mark.parametrize("seconds, share", [(2.0, 0.82), (8.0, 0.45)])
    def test_falls_while_turns_queue_at_targets(self, seconds, share):
        gate = gate_after(1.5, seconds)
        assert gate.share == pytest.approx(share, rel=0.02)
        assert len(let_in(gate, 1.0)) == pytest.approx(share * 2_000, rel=0.05)

    def test_grows_again_when_places_are_free(self):
        gate = gate_after(1.5, 8.0)
        for tenth in range(81, 141):
            gate.look(tenth / 10, 0.4)
        assert gate.share == 1.0

    def test_some_get_in_under_any_load(self):
        """Targets that were swamped for minutes are free again, but nobody is let in
        who could show it.
        """
        assert let_in(gate_after(100.0, 600.0), 0.0)

    def test_pause_without_looks_counts_little(self):
        """A host gets no turns for a minute. Its last count was high, and taken for
        the whole minute it would shut out nearly everybody.
        """
        gate = ProgramGate()
        gate.look(0.0, 2.0)
        gate.look(60.0, 2.0)
        assert gate.share == pytest.approx(0.9)


class TestTurnedAway:
    """Who is turned away, and when to come back."""

    def test_same_programs_at_each_host_and_try(self):
        """A program that is turned away asks again at another host. Let in there, it
        would begin too late to end in time, in the place of one that has just come.
        """
        first, second = gate_after(1.5, 8.0), gate_after(1.5, 8.0)
        assert let_in(first, 1.0) == let_in(second, 1.0) == let_in(first, 1.0)

    def test_nobody_gets_in_beyond_the_most(self):
        """Everybody asks within a second, and the share hasn't followed yet."""
        gate = ProgramGate()
        assert gate.ask(1.25, "program") == TurnedAway(0.2)

    def test_is_told_to_stay_away_longer_outside_the_share(self):
        gate = gate_after(1.5, 8.0)
        answers = {gate.ask(2.0, p) for p in PROGRAMS}
        assert answers == {TurnedAway(0.2), TurnedAway(1.2)}
