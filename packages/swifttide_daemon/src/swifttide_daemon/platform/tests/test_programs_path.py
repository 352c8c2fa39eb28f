"""Streams, turns and budgets of programs, over real sockets."""

import asyncio

from swifttide_daemon.platform.tests._waiting import until


class TestStreams:
    def test_broken_stream_goes_on_at_its_last_event(self, play):
        """A runner dies in the middle of a stream that may be resumed.

        The caller sees each event once, in one answer.
        """

        async def scenario(site):
            first = await site.add_runner("i-1", "engines")
            second = await site.add_runner("i-2", "engines")
            for runner in (first, second):
                runner.script = runner.events(6, break_after=2)
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            sending = asyncio.create_task(site.send("/check/1"))
            await until(lambda: first.ran or second.ran)
            broken, other = (first, second) if first.ran else (second, first)
            other.script = other.events(6)
            await broken.server.stop()
            return await sending

        answer = play(scenario)
        assert answer.status == 200
        assert answer.whole
        assert answer.body == b"".join(
            f"id: {n}\ndata: d{n}\n\n".encode() for n in range(1, 7)
        )

    def test_stream_goes_on_as_its_runner_dies(self, play):
        """Guards against a stream that ends with the process of its runner."""

        async def scenario(site):
            runners = [await site.add_runner(id, "engines") for id in ("i-1", "i-2")]
            began = []

            def hold_first(runner):
                whole, held = runner.events(6), runner.events(6, hold_after=2)

                def script(request):
                    began.append(runner)
                    return held(request) if len(began) == 1 else whole(request)

                return script

            for runner in runners:
                runner.script = hold_first(runner)
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            sending = asyncio.create_task(site.send("/check/1"))
            await until(lambda: began)
            await asyncio.sleep(0.1)
            await began[0].server.stop()
            return await sending, [len(runner.ran) for runner in runners]

        answer, n_ran = play(scenario)
        assert n_ran == [1, 1]
        assert answer.status == 200
        assert answer.whole
        assert answer.body == b"".join(
            f"id: {n}\ndata: d{n}\n\n".encode() for n in range(1, 7)
        )

    def test_stream_that_goes_on_beyond_its_place(self, play):
        """A runner breaks off after two events and leaves two out as it goes on.

        Passed on, the caller would take an answer with a hole for the whole one.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            begin = runner.events(6, break_after=2)
            rest = (b"id: 5\ndata: d5\n\n", b"id: 6\ndata: d6\n\n")

            def script(request):
                if "last-event-id" in request.fields:
                    return runner.reply(request, rest)
                return begin(request)

            runner.script = script
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/check/1"), len(runner.ran)

        answer, n_ran = play(scenario)
        assert n_ran > 1
        assert not answer.whole
        assert answer.body == b"id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"

    def test_cut_stream_does_not_look_complete(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            runner.script = runner.events(6, break_after=3)
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.turn("t1")

        answer = play(scenario)
        assert answer.status == 200
        assert not answer.whole


class TestTurns:
    def test_next_turn_gets_the_whole_history_at_any_host(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            await until(lambda: site.gateways[1].beliefs.targets)
            await site.turn("t1", body=b"one|")
            await site.turn("t2", body=b"two|", previous_turn="t1", gateway=1)
            await site.turn("t3", body=b"three|", previous_turn="t2")
            return [r.body for r in runner.ran]

        bodies = play(scenario, n_gateways=2)
        output = b"d1\nd2\nd3\n"
        assert bodies[1] == b"one|" + output + b"two|"
        assert bodies[2] == b"one|" + output + b"two|" + output + b"three|"

    def test_history_longer_than_a_row(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            await until(lambda: site.gateways[1].beliefs.targets)
            await site.turn("t1", body=b"x" * 90_000)
            await site.turn("t2", previous_turn="t1", gateway=1)
            return runner.ran[1].body

        assert play(scenario, n_gateways=2) == b"x" * 90_000 + b"d1\nd2\nd3\nin"

    def test_turn_too_long_to_be_stored_runs_nowhere(self, play):
        """Guards against a turn that is cut at its first event for its length."""

        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            answer = await site.turn("t1", body=b"x" * 900_001)
            return answer, runner.ran

        limits = {
            "max_header_bytes": 8192,
            "max_body_bytes": 4_000_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        }
        answer, ran = play(scenario, limits=limits)
        assert (answer.status, answer.body, ran) == (413, b"turn_too_long", [])

    def test_unknown_turn_is_404(self, play):
        async def scenario(site):
            await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.turn("t1", previous_turn="never")

        assert play(scenario).status == 404

    def test_slow_store_leaves_time_for_the_answer(self, play):
        """The store takes longer for a turn's history than its caller waits.

        The caller gets an answer in its time, and it says that nothing has run.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            site.store.seconds = 5.0
            answer = await site.turn("t1", previous_turn="t0", deadline_ms="300")
            return answer, len(runner.ran)

        answer, n_ran = play(scenario)
        assert (answer.status, n_ran) == (503, 0)
        assert answer.body == b"store_too_slow"

    def test_turn_that_cannot_be_looked_up_is_503(self, play):
        """The store is away when a turn names one that another host served.

        A 404 would end the program, though its history is there.
        """

        async def scenario(site):
            await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            site.store.refuse = True
            return await site.turn("t1", previous_turn="elsewhere")

        answer = play(scenario)
        assert answer.status == 503
        assert float(answer.fields["retry-after"]) > 0


class TestBudgets:
    def test_spent_budget_is_402_at_every_host(self, play):
        """A program starts turn after turn, at one host and at another.

        The tokens that it gets from both together stay within its budget.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            for gateway in site.gateways:
                await until(lambda g=gateway: g.beliefs.targets)
            terms = {"token_budget": "100", "token_usage": "10,30"}
            statuses = []
            for i in range(10):
                answer = await site.turn(f"t{i}", gateway=i % 2, **terms)
                statuses.append(answer.status)
            return statuses, len(runner.ran)

        statuses, n_ran = play(scenario, n_gateways=2)
        assert statuses == [200] * 3 + [402] * 7
        assert n_ran == 3

    def test_budget_holds_over_a_restart(self, play):
        async def scenario(site):
            await site.add_runner("i-1", "engines")
            await until(lambda: site.gateways[0].beliefs.targets)
            terms = {"token_budget": "60", "token_usage": "10,30"}
            before = [await site.turn(f"t{i}", **terms) for i in range(2)]
            await site.add_gateway()
            await until(lambda: site.gateways[1].beliefs.targets)
            after = await site.turn("t9", gateway=1, **terms)
            return [a.status for a in before], after.status

        assert play(scenario) == ([200, 200], 402)
