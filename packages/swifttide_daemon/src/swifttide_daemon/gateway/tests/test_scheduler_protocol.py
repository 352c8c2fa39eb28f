"""Tests how hosts wait for the decisions of the scheduler's host, with faults."""

import asyncio
import contextlib

from swifttide_core.admission import ProgramAdmitted, ProgramRefused
from swifttide_core.scheduling import (
    PlacementRequest,
    ProgramRequest,
    TurnResult,
    WorkClass,
)
from swifttide_daemon.gateway.targets._order_messages import (
    AskLeft,
    AskPlace,
    OrderAnswer,
    OrderState,
)
from swifttide_daemon.gateway.targets._scheduler_client import (
    MAX_QUEUED_FRACTION,
    Place,
)
from swifttide_daemon.gateway.tests._overload import CONFIG, Fleet
from swifttide_daemon.gateway.tests._overload_engines import SERVICE
from swifttide_daemon.gateway.tests._queueing_scheduler import (
    RETRY_SECONDS,
    QueueingScheduler,
)
from swifttide_standins.paused_clock import run_paused

SPEC = CONFIG.service(SERVICE)


class Hosts:
    """Four hosts of which the first in ``ips`` schedules and the last one asks."""

    def __init__(self, log):
        self.fleet = Fleet(4, 2, None, log, 1, new_scheduler=QueueingScheduler)
        choice = self.fleet.host(self.fleet.ips[0]).scheduling.server._choice
        self.ips = choice.keepers(f"order of {SERVICE}")
        self.dropped = []

    def drop_next(self, kind, count=1, **fields):
        """Lose the next messages of a type that have these contents."""
        self.dropped = []

        def drops(sender, ip, message):
            is_dropped = (
                isinstance(message, kind)
                and len(self.dropped) < count
                and all(getattr(message, k) == v for k, v in fields.items())
            )
            if is_dropped:
                self.dropped.append(message)
            return is_dropped

        self.fleet.drops = drops

    def client(self, number=-1):
        return self.fleet.host(self.ips[number]).scheduling.client

    def scheduler(self, number=0) -> QueueingScheduler:
        server = self.fleet.host(self.ips[number]).scheduling.server
        return server._active[SERVICE].scheduler

    async def place(self, number=-1, remaining_seconds=8.0):
        client = self.client(number)
        request = PlacementRequest(
            client.new_id(), "p", "zone-a", remaining_seconds=remaining_seconds
        )
        return await client.place_turn(SPEC, request)

    async def occupied_and_waiting(self, number=-1):
        """Return the place in the only slot, and the task of a turn that waits."""
        place = await self.place()
        waiting = asyncio.create_task(self.place(number))
        await asyncio.sleep(0.05)
        assert len(self.scheduler().waiting) == 1
        return place, waiting


def run(log, scenario):
    """Run a scenario with four hosts on a paused clock."""

    async def main():
        return await scenario(Hosts(log))

    return run_paused(main())


async def leave(task):
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    await asyncio.sleep(0.01)


class TestWaiting:
    """Turns and programs that wait at the scheduler."""

    def test_turn_gets_the_slot_of_one_that_ended(self, log):
        """Guards against slots that stay free until the next repeated question."""

        async def scenario(hosts):
            place, waiting = await hosts.occupied_and_waiting()
            result = TurnResult(0.1, 0.05, 4, True)
            hosts.client().report_turn_left(place, result)
            await asyncio.sleep(0.005)
            assert waiting.done()
            assert hosts.scheduler().results == [result]
            return waiting.result()

        assert isinstance(run(log, scenario), Place)

    def test_turn_of_the_scheduling_host_waits_too(self, log):
        """Guards against grants that a host can't send to itself."""

        async def scenario(hosts):
            place, waiting = await hosts.occupied_and_waiting(0)
            hosts.client().report_turn_left(place, TurnResult())
            return await waiting

        assert isinstance(run(log, scenario), Place)

    def test_wait_is_bounded(self, log):
        """Guards against turns that wait until no time is left to run them."""

        async def scenario(hosts):
            await hosts.place()
            start = hosts.fleet.now
            place = await hosts.place(remaining_seconds=2.0)
            seconds = hosts.fleet.now - start
            await asyncio.sleep(0.01)
            return place, seconds, hosts.scheduler().waiting

        place, seconds, waiting = run(log, scenario)
        assert place is None
        assert abs(seconds - 2.0 * MAX_QUEUED_FRACTION) < 0.05
        assert waiting == {}

    def test_wait_ends_despite_rounded_times(self, log):
        """Guards against a host that asks itself forever at the end of the wait."""

        async def scenario(hosts):
            await hosts.place()
            client = hosts.client(0)
            deliver, asked = client._send, []

            def send(ip, message):
                asked.append(message)
                assert len(asked) < 10_000
                deliver(ip, message)

            client._send = send
            for i in range(200):
                assert await hosts.place(0, 0.1 + i / 300) is None

        run(log, scenario)

    def test_program_is_admitted_or_refused_later(self, log):
        """Guards against a late refusal that is taken for an admission."""

        async def scenario(hosts):
            place = await hosts.place()
            client = hosts.client()
            tasks = []
            for _ in range(2):
                request = ProgramRequest(client.new_id(), "new", WorkClass(1))
                tasks.append(
                    asyncio.create_task(client.admit_program(SPEC, request, 8.0))
                )
                await asyncio.sleep(0.05)
                if len(tasks) == 1:
                    hosts.scheduler().withdraws_programs = True
                    await asyncio.sleep(0.05)
                    hosts.scheduler().withdraws_programs = False
            client.report_turn_left(place, TurnResult())
            return await asyncio.gather(*tasks)

        assert run(log, scenario) == [ProgramRefused(0.7), ProgramAdmitted()]


class TestMessageFaults:
    """Messages that are lost, doubled or late."""

    def test_lost_grant_is_sent_again(self, log):
        """Guards against a slot that a turn holds without knowing it."""

        async def scenario(hosts):
            place, waiting = await hosts.occupied_and_waiting()
            hosts.drop_next(OrderAnswer, is_queued=False)
            hosts.client().report_turn_left(place, TurnResult())
            await asyncio.sleep(RETRY_SECONDS + 0.05)
            (lost,) = hosts.dropped
            assert waiting.result().target.id == lost.target
            return hosts.scheduler().placed, waiting.result().id

        placed, id = run(log, scenario)
        assert list(placed) == [id]

    def test_doubled_and_late_answers_change_nothing(self, log):
        """Guards against a running turn whose slot is given back by a late answer."""

        async def scenario(hosts):
            place = await hosts.place()
            answer = OrderAnswer(place.id.boot, place.id.number, place.target.id)
            queued = OrderAnswer(place.id.boot, place.id.number, "", 0.2, True)
            for message in (answer, queued):
                hosts.client().handle_answer(message, hosts.ips[0])
            await asyncio.sleep(0.01)
            assert list(hosts.scheduler().placed) == [place.id]
            hosts.client().report_turn_left(place, TurnResult())
            hosts.client().handle_answer(answer, hosts.ips[0])
            await asyncio.sleep(0.01)
            return hosts.scheduler().placed

        assert run(log, scenario) == {}

    def test_doubled_question_of_an_ended_turn_takes_no_slot(self, log):
        """Guards against slots of turns that no host runs."""

        async def scenario(hosts):
            place = await hosts.place()
            hosts.client().report_turn_left(place, TurnResult())
            await asyncio.sleep(0.01)
            late = AskPlace(SERVICE, place.id.boot, place.id.number, "p", "zone-a")
            server = hosts.fleet.host(hosts.ips[0]).scheduling.server
            for _ in range(2):
                server.handle_message(late, place.id.host)
                await asyncio.sleep(1.5)
            return hosts.scheduler().placed

        assert run(log, scenario) == {}


class TestCallersThatLeave:
    """Callers that disconnect while their turn waits."""

    def test_waiting_turn_is_removed(self, log):
        """Guards against slots that are given to turns without a caller."""

        async def scenario(hosts):
            _, waiting = await hosts.occupied_and_waiting()
            await leave(waiting)
            return hosts.scheduler().waiting

        assert run(log, scenario) == {}

    def test_grant_on_its_way_is_given_back(self, log):
        """Guards against slots that stay occupied, also if the notice is lost."""

        async def scenario(hosts):
            place, waiting = await hosts.occupied_and_waiting()
            hosts.drop_next(AskLeft)
            hosts.client().report_turn_left(place, TurnResult())
            await asyncio.sleep(0.0015)
            assert hosts.scheduler().placed
            await leave(waiting)
            assert hosts.dropped
            return hosts.scheduler().placed

        assert run(log, scenario) == {}

    def test_host_that_is_lost_leaves_no_waiting_turns(self, log):
        """Guards against turns of a lost host that wait forever."""

        async def scenario(hosts):
            await hosts.occupied_and_waiting(2)
            hosts.drop_next(AskLeft, 99)
            hosts.fleet.kill(hosts.ips[2])
            hosts.drop_next(AskPlace, 99)
            await asyncio.sleep(RETRY_SECONDS + 1.1)
            return hosts.scheduler().waiting

        assert run(log, scenario) == {}


class TestLossOfScheduler:
    """The scheduler's host is lost while turns wait there."""

    def test_order_is_kept_by_the_time_waited(self, log):
        """Guards against queued turns that start again at the end of the queue."""

        async def scenario(hosts):
            await hosts.place()
            tasks = []
            for number in (3, 2, 3, 2):
                tasks.append(asyncio.create_task(hosts.place(number)))
                await asyncio.sleep(0.04)
            hosts.fleet.kill(hosts.ips[0])
            # The successor learns first of the turn that another host sends there.
            await hosts.place(1)
            late = asyncio.create_task(hosts.place(1))
            await asyncio.sleep(RETRY_SECONDS + 0.1)
            finished = []
            while len(finished) < 5:
                scheduler = hosts.scheduler(1)
                ((id, target),) = scheduler.placed.items()
                scheduler.end_turn(id, target, TurnResult(), 0.0)
                await asyncio.sleep(0.05)
                finished += [
                    n
                    for n, task in enumerate([*tasks, late])
                    if task.done() and n not in finished
                ]
            return finished

        assert run(log, scenario) == [0, 1, 2, 3, 4]

    def test_successor_restores_the_newest_state(self, log):
        """Guards against a successor that has to measure all targets anew."""

        async def scenario(hosts):
            while hosts.fleet.now < 1.5:
                place = await hosts.place()
                hosts.client().report_turn_left(place, TurnResult())
                await asyncio.sleep(0.1)
            hosts.fleet.kill(hosts.ips[0])
            await hosts.place()
            return hosts.scheduler(1).restored

        assert run(log, scenario) == [
            {"targets": {"engine-0": [0.5]}, "routes": {"chat": [1.0, 2.0]}}
        ]

    def test_scheduler_that_was_not_asked_for_a_while_resumes(self, log):
        """Guards against slots that are given again to turns of another scheduler."""

        async def scenario(hosts):
            await hosts.place()
            await asyncio.sleep(1.5)
            await hosts.place(remaining_seconds=0.1)
            return hosts.scheduler().n_resumed

        assert run(log, scenario) == 1

    def test_state_of_unknown_targets_is_ignored(self, log):
        """Guards against memory that forged messages fill."""

        async def scenario(hosts):
            server = hosts.fleet.host(hosts.ips[1]).scheduling.server
            state = OrderState(SERVICE, {"targets": {"none": [1.0]}, "other": {}})
            server.handle_message(state, hosts.ips[0])
            return server._received_states.take(SERVICE)

        assert run(log, scenario) == {"targets": {}, "routes": {}}
