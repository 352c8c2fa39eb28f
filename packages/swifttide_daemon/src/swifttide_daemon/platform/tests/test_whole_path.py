"""Requests from callers to runners and back, over real sockets."""

import asyncio

from swifttide_daemon.platform.tests._waiting import until


class TestForwarding:
    def test_answer_comes_back_with_the_runners_mark(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"found")
            await until(lambda: site.gateways[0].beliefs.targets)
            answer = await site.send("/lookup/7?x=1", method="GET")
            return answer, runner.ran[0]

        answer, ran = play(scenario)
        assert (answer.status, answer.body) == (200, b"found")
        assert answer.fields["swifttide-server-stamp"] == "stamp-i-1"
        assert ran.target == "/lookup/7?x=1"
        assert int(ran.fields["swifttide-deadline-ms"]) <= 2000

    def test_no_route_is_404_and_longest_prefix_wins(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"x")
            await until(lambda: site.gateways[0].beliefs.targets)
            missing = await site.send("/nowhere/1")
            return missing, runner.ran

        missing, ran = play(scenario)
        assert missing.status == 404
        assert ran == []

    def test_forged_fields_never_reach_a_runner(self, play):
        """A caller names another customer, a hold and an engine's memory.

        Passed on, it would run for the other customer or go on from its prompt.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"x")
            await until(lambda: site.gateways[0].beliefs.targets)
            await site.send(
                "/lookup/1",
                tenant="other",
                hold="h1",
                kv_from="10.0.0.1:80/1",
                authorization="Bearer k1",
            )
            return runner.ran[0].fields

        customers = [{"name": "c1", "api_keys": ["k1"], "rate_per_s": 50, "burst": 50}]
        fields = play(scenario, tenants=customers)
        assert fields["swifttide-tenant"] == "c1"
        assert "swifttide-hold" not in fields
        assert "kv-from" not in fields
        assert "authorization" not in fields

    def test_unknown_key_is_401(self, play):
        async def scenario(site):
            await site.add_runner("i-1", "app")
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/lookup/1", authorization="Bearer wrong")

        customers = [{"name": "c1", "api_keys": ["k1"]}]
        assert play(scenario, tenants=customers).status == 401

    def test_late_answer_to_another_request_is_skipped(self, play):
        """A runner sends a second answer to an earlier request.

        It stands where the next answer is expected; a caller would get another's.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            stray = (
                b"HTTP/1.1 200 OK\r\nSwifttide-Attempt-Id: old\r\n"
                b"Swifttide-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nother"
            )
            runner.script = runner.body(b"mine", raw_before=stray)
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/lookup/1")

        answer = play(scenario)
        assert (answer.status, answer.body) == (200, b"mine")

    def test_connection_with_a_doubled_answer_is_not_used_again(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            extra = (
                b"HTTP/1.1 200 OK\r\nSwifttide-Attempt-Id: a1\r\n"
                b"Swifttide-Server-Stamp: s\r\nContent-Length: 5\r\n\r\ntwice"
            )
            runner.script = runner.body(b"once", raw_after=extra)
            await until(lambda: site.gateways[0].beliefs.targets)
            first = await site.send("/lookup/1")
            second = await site.send("/lookup/1")
            return first, second, runner.server.n_connections

        first, second, n_connections = play(scenario)
        assert first.body == second.body == b"once"
        assert n_connections == 2

    def test_cut_body_is_asked_for_again_when_repeatable(self, play):
        """A runner breaks off in the middle of its answer.

        A lookup is asked for again; a charge may have been made and must not be.
        """

        async def scenario(site):
            first = await site.add_runner("i-1", "app")
            second = await site.add_runner("i-2", "app")
            first.script = first.body(b"part", break_after=1)
            second.script = second.body(b"whole")
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            lookups = [
                await site.send("/lookup/1", attempt_id=f"l{i}") for i in range(4)
            ]
            first.ran.clear()
            second.ran.clear()
            charges = [
                await site.send("/charge/1", attempt_id=f"c{i}") for i in range(4)
            ]
            return lookups, charges, len(first.ran) + len(second.ran)

        lookups, charges, n_ran = play(scenario)
        assert {a.body for a in lookups} == {b"whole"}
        assert n_ran == 4
        assert {a.status for a in charges} <= {200, 502}

    def test_charge_that_may_have_run_is_never_sent_again(self, play):
        """The only runner takes a charge and breaks off in its answer.

        Sent to it once more, the club would pay twice.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"part", break_after=1)
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/charge/1"), len(runner.ran)

        answer, n_ran = play(scenario)
        assert (answer.status, n_ran) == (502, 1)

    def test_refused_unrun_goes_to_another_runner(self, play):
        async def scenario(site):
            first = await site.add_runner("i-1", "app")
            second = await site.add_runner("i-2", "app")
            first.script = first.refusal()
            second.script = second.body(b"done")
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            return [await site.send("/charge/1", attempt_id=f"c{i}") for i in range(4)]

        assert {a.status for a in play(scenario)} == {200}

    def test_503_without_a_promise_is_not_passed_on_as_one(self, play):
        """A runner answers 503 but doesn't say that it hasn't run the request.

        Passed on, the caller would take it as such and charge a second time.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"busy", status=503)
            await until(lambda: site.gateways[0].beliefs.targets)
            return await site.send("/charge/1")

        assert play(scenario).status == 502

    def test_route_timeout_ends_in_an_answer(self, play):
        async def scenario(site):
            runner = await site.add_runner("i-1", "engines")
            runner.run_seconds = 5.0
            await until(lambda: site.gateways[0].beliefs.targets)
            answer = await site.send("/brief/1")
            await until(lambda: runner.left)
            return answer

        assert play(scenario).status == 504

    def test_work_stops_when_its_caller_leaves(self, play):
        """A caller closes its connection while a runner works for it.

        Left running, the work would take a place that nobody needs.
        """

        async def scenario(site):
            runner = await site.add_runner("i-1", "app")
            runner.run_seconds = 5.0
            await until(lambda: site.gateways[0].beliefs.targets)
            sending = asyncio.create_task(site.send("/lookup/1"))
            await until(lambda: runner.ran)
            sending.cancel()
            await until(lambda: runner.left)
            return runner.left

        assert play(scenario) == ["a1"]


class TestBadInput:
    def raw(self, play, data):
        async def scenario(site):
            address = site.ports[0]
            runner = await site.add_runner("i-1", "app")
            runner.script = runner.body(b"x")
            await until(lambda: site.gateways[0].beliefs.targets)
            reader, writer = await asyncio.open_connection(*address[:2])
            writer.write(data)
            async with asyncio.timeout(5):
                head = await reader.read(65_536)
            writer.close()
            after = await site.send("/lookup/1")
            return head.split(b"\r\n")[0], after, runner.ran

        line, after, ran = play(scenario)
        assert after.status == 200
        assert len(ran) == 1
        return int(line.split(b" ")[1])

    def test_length_and_chunks_at_once(self, play):
        """Two readers of such a request see its end at different places.

        What one takes for the body the other runs as a request of its own.
        """
        data = (
            b"POST /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Swifttide-Attempt-Id: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        assert self.raw(play, data) == 400

    def test_headers_that_are_too_long(self, play):
        data = b"GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX: " + b"a" * 10_000
        assert self.raw(play, data) == 431

    def test_body_that_is_too_long(self, play):
        data = (
            b"POST /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n"
            b"Swifttide-Attempt-Id: a\r\nContent-Length: 999999\r\n\r\n"
        )
        assert self.raw(play, data) == 413

    def test_no_http(self, play):
        assert self.raw(play, b"\x00\x01\x02 hello\r\n\r\n") == 400

    def test_without_an_attempt_id(self, play):
        data = b"GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        assert self.raw(play, data) == 400

    def test_headers_that_take_too_long(self, play):
        assert self.raw(play, b"GET /lookup/1 HTTP/1.1\r\nHo") == 408
