"""Tests that crashes count against requests and network partitions do not."""

import asyncio

from swifttide_core.forwarding import TargetEntry
from swifttide_core.strikes import Clear, Refused
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_standins.paused_clock import run_paused


def target(id, port=1, started_ms=1):
    return TargetEntry(id, "s", "10.0.0.1", port, "zone-a", 12, started_ms=started_ms)


class TestStrikes:
    def status(self, log, scenario):
        async def main():
            keeper = StrikeKeeper(log)
            scenario(keeper)
            await asyncio.sleep(0.1)
            return keeper.status_of("f1"), keeper.strikes_to_broadcast()

        return run_paused(main())

    def test_request_is_refused_after_two_crashed_targets(self, log):
        def scenario(keeper):
            keeper.record_broken_request("f1", target("t1"))
            keeper.record_refused_connection("t1")
            keeper.record_broken_request("f1", target("t2", port=2))
            keeper.record_refused_connection("t2")

        found, sent_strikes = self.status(log, scenario)
        assert isinstance(found, Refused)
        assert len(sent_strikes) == 2

    def test_network_partition_adds_no_strikes(self, log):
        """A zone is partitioned; connections break and the targets' entries expire.

        The requests at these targets are not at fault. If they were refused, they would
        fail for ten minutes at all hosts after the partition has ended.
        """

        def scenario(keeper):
            for i in range(4):
                keeper.record_broken_request("f1", target(f"t{i}", port=i + 1))
            for i in range(4):
                keeper.record_entry(target(f"t{i}", port=i + 1))

        found, sent_strikes = self.status(log, scenario)
        assert found == Clear()
        assert sent_strikes == []

    def test_restart_at_the_address_shows_a_crash(self, log):
        def scenario(keeper):
            keeper.record_broken_request("f1", target("t1"))
            keeper.record_entry(target("t1b"))
            keeper.record_broken_request("f1", target("t2", port=2, started_ms=1))
            keeper.record_entry(target("t2", port=2, started_ms=9))

        found, _ = self.status(log, scenario)
        assert isinstance(found, Refused)

    def test_strikes_of_other_hosts_count(self, log):
        def scenario(keeper):
            keeper.add_remote_strikes(
                [("f1", "t1", "1"), ("f1", "t1", "1"), ("f1", "t2", "1")]
            )

        found, sent_strikes = self.status(log, scenario)
        assert isinstance(found, Refused)
        assert sent_strikes == []


class TestCompletedRuns:
    def crash_two(self, keeper, fingerprint):
        for port in (1, 2):
            keeper.record_broken_request(fingerprint, target(f"t{port}", port=port))
            keeper.record_refused_connection(f"t{port}")

    def test_hosts_tell_each_other_what_completes(self, log):
        """Guards against refusing a frequent request at hosts that rarely get it."""

        async def main():
            near, far = StrikeKeeper(log), StrikeKeeper(log)
            for _ in range(3):
                near.record_success("f1")
            assert near.completions_to_broadcast() == {}
            self.crash_two(far, "f1")
            assert isinstance(far.status_of("f1"), Refused)
            near.add_remote_strikes(far.strikes_to_broadcast())
            assert near.status_of("f1") == Clear()
            far.add_remote_completions(near.completions_to_broadcast())
            return far.status_of("f1")

        assert run_paused(main()) == Clear()

    def test_nothing_is_told_of_requests_without_completed_runs(self, log):
        async def main():
            keeper = StrikeKeeper(log)
            self.crash_two(keeper, "f1")
            keeper.record_success("other")
            return keeper.completions_to_broadcast()

        assert run_paused(main()) == {}


class TestNewcomers:
    def crash(self, keeper, fingerprint, n_targets=2):
        for port in range(n_targets):
            id = f"{fingerprint}-t{port}"
            keeper.record_broken_request(fingerprint, target(id, port=port))
            keeper.record_refused_connection(id)

    def test_strikes_in_force_are_told(self, log):
        """Guards against crashes that begin anew at each host that is restarted."""

        async def main():
            old, new = StrikeKeeper(log), StrikeKeeper(log)
            self.crash(old, "f1")
            await asyncio.sleep(60.0)
            assert old.standing_strikes(8) == []
            old.welcome()
            new.add_standing_strikes(old.standing_strikes(8))
            await asyncio.sleep(3.0)
            return old.status_of("f1"), new.status_of("f1"), old.standing_strikes(8)

        old, new, later = run_paused(main())
        # No longer refused there than at the host that told.
        assert new == old
        assert isinstance(old, Refused)
        assert later == []

    def test_refused_requests_come_first(self, log):
        """Guards against beacons full of strikes that refuse nothing."""

        async def main():
            keeper = StrikeKeeper(log)
            for n in range(50):
                self.crash(keeper, f"single{n}", n_targets=1)
            self.crash(keeper, "refused")
            keeper.welcome()
            return [strike[0] for strike in keeper.standing_strikes(4)]

        found = run_paused(main())
        assert found[:2] == ["refused"] * 2
        assert len(found) == 4
