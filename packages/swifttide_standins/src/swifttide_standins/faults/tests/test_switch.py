"""Whom a fault meets."""

from swifttide_standins.faults import Fault, FaultMode, FaultSwitch


class TestFaultSwitch:
    def test_count_runs_out(self):
        switch = FaultSwitch()
        switch.put(Fault(FaultMode.CUT_HALF, text="dog", count=1))
        modes = [switch.take("c", content).mode for content in ("cat", "dog", "dog")]
        assert modes == [FaultMode.NONE, FaultMode.CUT_HALF, FaultMode.NONE]

    def test_silence_meets_only_old_connections(self):
        switch = FaultSwitch()
        switch.take("old", "")
        switch.put(Fault(FaultMode.SILENT))
        assert switch.take("new", "").mode is FaultMode.NONE
        assert switch.take("old", "").mode is FaultMode.SILENT
        assert [switch.is_silent(c) for c in ("old", "new")] == [True, False]

    def test_replacing_a_fault_ends_a_hang(self):
        """A test ends its fault. Threads left in the hang would use up the target's
        threads, and later tests would fail for no reason of their own.
        """
        switch = FaultSwitch()
        switch.put(Fault(FaultMode.HANG))
        ended = switch._ended
        switch.put(Fault())
        assert ended.is_set()
