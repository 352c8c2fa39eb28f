"""What a host believes of configuration and targets."""

import asyncio

from swifttide_core.forwarding import RoutingConfig, TargetEntry
from swifttide_daemon.gateway._beliefs import ENTRY_RETURN_TIMEOUT_SECONDS, Beliefs
from swifttide_standins.paused_clock import run_paused


def target(id, draining=False):
    return TargetEntry(id, "s", "10.0.0.1", 1, "zone-a", 12, draining)


class TestConfiguration:
    def test_older_version_never_replaces_a_newer_one(self, log):
        """A peer's late copy or a store that is behind brings an older version.

        Put in force, it would take back what an operator was told to be in force.
        """
        beliefs = Beliefs(lambda id: None, log)
        assert beliefs.apply_config(RoutingConfig(7), "store")
        assert not beliefs.apply_config(RoutingConfig(6), "store")
        assert not beliefs.apply_config(RoutingConfig(7), "store")
        assert beliefs.config.version == 7


class TestTargets:
    def test_second_outage_right_after_the_first_takes_no_target_out(self, log):
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

    def test_entries_that_lapsed_in_an_outage_have_time_to_come_back(self, log):
        """The store was away, and all targets' entries lapsed meanwhile.

        They are back within two seconds; taken out at once, every request in between
        would be refused. One that isn't back by then is gone.
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

    def test_target_that_leaves_in_calm_is_out_at_once(self, log):
        async def main():
            beliefs = Beliefs(lambda id: None, log)
            beliefs.replace_targets({"t1": target("t1")})
            beliefs.remove_target("t1")
            return beliefs.targets_of("s")

        assert run_paused(main()) == []

    def test_draining_target_takes_no_new_work(self, log):
        async def main():
            beliefs = Beliefs(lambda id: None, log)
            beliefs.put_target(target("t1", draining=True))
            return beliefs.targets_of("s")

        assert run_paused(main()) == []
