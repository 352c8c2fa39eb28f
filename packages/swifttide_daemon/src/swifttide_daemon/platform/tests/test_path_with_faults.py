"""Stops, targets that fail or leave, cuts and settings, over real sockets."""

import asyncio
import dataclasses

from swifttide_daemon.platform.tests._waiting import until
from swifttide_standins.print_office import Reply


class TestStop:
    def test_stop_cuts_no_request(self, play):
        """A host is told to stop while a runner works for its callers.

        Requests under way are finished, new ones on kept connections answered.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"done")
            runner.run_seconds = 1.0
            await until(lambda: site.gateways[0].beliefs.targets)
            sending = asyncio.create_task(site.send("/charge/1"))
            await until(lambda: runner.ran)
            stopped = site.stop()
            late = await site.send("/lookup/1", attempt_id="a2")
            first = await sending
            await stopped
            return first, late

        first, late = play(scenario)
        assert (first.status, first.body) == (200, b"done")
        assert late.status == 200
        assert late.fields["connection"] == "close"


class TestTargets:
    def test_removed_while_history_was_lost(self, play):
        """The store drops its history, and a runner leaves in the gap.

        Kept in service as a ghost, it would cost each request a vain connection.
        """

        async def scenario(site):
            await site.add_runner("i-1", "app")
            await site.add_runner("i-2", "app")
            beliefs = site.gateways[0].beliefs
            await until(lambda: len(beliefs.targets) == 2)
            site.store.rows.rows.pop(("servers", "", "i-1"))
            site.store.rows.version += 1
            site.store.rows.forget_history()
            await until(lambda: set(beliefs.targets) == {"i-2"})

        play(scenario)

    def test_entry_that_cannot_be_read_names_no_runner(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            rows = site.store.rows
            rows.put("servers", "i-2", b"\xff\x00")
            rows.put("servers", "i-3", b'{"service": 7}')
            rows.put("servers", "i-4", runner.entry(state="odd"))
            await until(lambda: site.gateways[0].beliefs.targets)
            await site.add_runner("i-5", "app")
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            return set(site.gateways[0].beliefs.targets)

        assert play(scenario) == {"i-1", "i-5"}

    def test_draining_runner_gets_no_new_work(self, play):
        async def scenario(site):
            first = await site.add_runner("i-1", "app")
            second = await site.add_runner("i-2", "app")
            first.script = first.body(b"x")
            second.script = second.body(b"x")
            site.store.rows.put("servers", "i-1", first.entry(state="draining"))
            beliefs = site.gateways[0].beliefs
            await until(lambda: "i-1" in beliefs.targets)
            await until(lambda: beliefs.targets["i-1"].draining)
            for i in range(5):
                await site.send("/lookup/1", attempt_id=f"l{i}")
            return len(first.ran), len(second.ran)

        assert play(scenario) == (0, 5)

    def test_runner_that_drains_while_a_connection_opens(self, play):
        """Guards against new work for a runner that is about to leave."""

        async def scenario(site):
            first = await site.add_runner("i-1", "app")
            first.script = first.body(b"x")
            await until(lambda: site.gateways[0].beliefs.targets)
            site.change_while_connecting(first, state="draining")
            return await site.send("/lookup/1"), first.ran

        answer, ran = play(scenario)
        assert (answer.status, ran) == (503, [])


class TestRunnerFaults:
    def test_answer_that_is_no_http(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"x", raw_before=b"\x00garbage\r\n\r\n")
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/charge/1")

        assert play(scenario).status == 502

    def test_success_without_the_runners_mark(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = lambda request: Reply(200, {}, (b"not mine",))
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/charge/1")

        assert play(scenario).status == 502

    def test_silent_runner_that_is_out_of_reach(self, play):
        """A runner loses power while it works: no reset comes, only silence.

        The caller hears at once that nothing is known of its charge, and the lookup
        is asked for at another runner, long before their time is up.
        """

        async def scenario(site):
            lost = await site.add_runner("i-1", "app")
            lost.run_seconds = 30.0
            await until(lambda: site.gateways[0].beliefs.targets)
            charge = asyncio.create_task(site.send("/charge/1", attempt_id="c"))
            lookup = asyncio.create_task(site.send("/lookup/1", attempt_id="l"))
            await until(lambda: len(lost.ran) == 2)
            other = await site.add_runner("i-2", "app")
            other.script = other.body(b"found")
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            lost.server.refuse_connections()
            return await charge, await lookup

        charge, lookup = play(scenario)
        assert charge.status == 502
        assert (lookup.status, lookup.body) == (200, b"found")

    def test_slow_runner_is_waited_for(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"done")
            runner.run_seconds = 1.2
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/charge/1"), len(runner.ran)

        answer, n_ran = play(scenario)
        assert (answer.status, n_ran) == (200, 1)


class TestIsolation:
    def test_host_cut_off_from_store_and_zones_sends_callers_elsewhere(self, play):
        """A zone is cut off from the others and from the store; callers reach it.

        Its hosts say that they aren't ready, so that the balancer uses other zones,
        and close the connections that callers keep.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"x")
            cut, other = site.gateways
            await until(lambda: cut.beliefs.targets and other.beliefs.targets)
            await until(lambda: cut._fleet.alive())
            site.store.refuse = True
            await asyncio.sleep(1.5)
            during_outage = await site.send("/lookup/1")
            site.kill(1)
            await until(lambda: not cut._pages.is_ready())
            cut_off = await site.send("/lookup/1")
            site.store.refuse = False
            await until(cut._pages.is_ready)
            return during_outage, cut_off, await site.send("/lookup/1")

        answers = play(scenario, n_gateways=2, zones=("zone-a", "zone-b"))
        during_outage, cut_off, after = answers
        assert "connection" not in during_outage.fields
        assert (cut_off.status, cut_off.fields["connection"]) == (200, "close")
        assert "connection" not in after.fields


class TestSettings:
    def test_changed_file_is_taken_without_a_signal(self, play):
        async def scenario(site):
            gateway = site.gateways[0]
            site.settings = dataclasses.replace(gateway._cfg, stop_seconds=2.0)
            await until(lambda: gateway._cfg.stop_seconds == 2.0)
            site.settings = dataclasses.replace(gateway._cfg, caller_port=1)
            gateway.reload()
            await asyncio.sleep(0.1)
            return gateway._cfg.caller_port

        assert play(scenario) != 1
