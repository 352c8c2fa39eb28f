"""Tests of a host's view of the configuration and of the targets."""

import asyncio

from swifttide_core.forwarding import RoutingConfig, TargetEntry
from swifttide_daemon.gateway._beliefs import ENTRY_RETURN_TIMEOUT_SECONDS, Beliefs
from swifttide_standins.paused_clock import run_paused


def target(id, draining=False):
    return TargetEntry(id, "s", "10.0.0.1", 1, "zone-a", 12, draining)


class TestConfiguration:
    def test_older_version_never_replaces_a_newer_one(self, log):
        """Guards against a configuration that is reverted by an outdated copy.

        A late copy of a peer or a stale read from the store has an older version. If it
        were applied, it would revert a configuration that the operator was told to be
        in effect.
        """
        beliefs = Beliefs(lambda id: None, log)
        assert beliefs.apply_config(RoutingConfig(7), "store")
        assert not beliefs.apply_config(RoutingConfig(6), "store")
        assert not beliefs.apply_config(RoutingConfig(7), "store")
        assert beliefs.config.version == 7


class TestTargets:
    def test_second_outage_right_after_the_first_removes_no_target(self, log):
        """Guards against a fleet without targets between two outages of the store."""

        async def main():
            beliefs = Beliefs(lambda id: None, log)
            beliefs.replace_targets({"t1": target("t1"), "t2": target("t2")})
            beliefs.store_lost()
            beliefs.store_returned()
            beliefs.remove_target("t1")
            await asyncio.sleep(0.5)
            beliefs.store_lost()
            await asyncio.sleep(4.0)
            beliefs.drop_lapsed()
            during = set(beliefs.targets)
            beliefs.store_returned()
            await asyncio.sleep(ENTRY_RETURN_TIMEOUT_SECONDS - 0.1)
            beliefs.drop_lapsed()
            after = set(beliefs.targets)
            await asyncio.sleep(0.2)
            beliefs.drop_lapsed()
            return during, after, set(beliefs.targets)

        assert run_paused(main()) == ({"t1", "t2"}, {"t1", "t2"}, {"t2"})

    def test_entries_expired_in_an_outage_have_time_for_renewal(self, log):
        """Guards against refused requests right after a store outage.

        All targets' entries expire in the outage and are renewed within two seconds of
        its end. With immediate removal every request in between would be refused. A
        target whose entry is not renewed in time is removed.
        """

        async def main():
            left = []
            beliefs = Beliefs(left.append, log)
            beliefs.replace_targets({"t1": target("t1"), "t2": target("t2")})
            beliefs.store_returned()
            beliefs.remove_target("t1")
            beliefs.remove_target("t2")
            at_once = len(beliefs.targets_of("s"))
            beliefs.put_target(target("t1"))
            await asyncio.sleep(ENTRY_RETURN_TIMEOUT_SECONDS + 0.1)
            beliefs.drop_lapsed()
            return at_once, [t.id for t in beliefs.targets_of("s")], left

        assert run_paused(main()) == (2, ["t1"], ["t2"])

    def test_target_is_removed_at_once_without_an_outage(self, log):
        async def main():
            beliefs = Beliefs(lambda id: None, log)
            beliefs.replace_targets({"t1": target("t1")})
            beliefs.remove_target("t1")
            return beliefs.targets_of("s")

        assert run_paused(main()) == []

    def test_draining_target_gets_no_new_requests(self, log):
        async def main():
            beliefs = Beliefs(lambda id: None, log)
            beliefs.put_target(target("t1", draining=True))
            return beliefs.targets_of("s")

        assert run_paused(main()) == []
