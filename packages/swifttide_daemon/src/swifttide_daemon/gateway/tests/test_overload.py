"""What callers get of engines that are asked for more than they can do."""

import asyncio

import pytest

from swifttide_daemon.gateway.tests._overload import N_TURNS, Fleet, Outcomes
from swifttide_daemon.gateway.tests._overload_engines import (
    ENGINE_CONCURRENCY,
    TURN_SECONDS,
)
from swifttide_standins.paused_clock import run_paused

N_REMAINING_ENGINES = 2
"""Engines that stay."""

CAPACITY_PROGRAMS_PER_SECOND = (
    N_REMAINING_ENGINES * ENGINE_CONCURRENCY / TURN_SECONDS / N_TURNS
)
"""Programs a second that the engines that stay can finish."""

MIN_GOODPUT_FRACTION = 0.85
"""Of what the engines bear: as much is to end in time under any overload."""

ENGINES_LEAVE_AT_SECONDS = 8.0
HOSTS_KILLED_AT_SECONDS = 12.0
HOSTS_RESTART_AT_SECONDS = 13.0

SETTLED_AT_SECONDS = HOSTS_RESTART_AT_SECONDS + 4.0
"""From then on new programs are to be served as before."""

END_SECONDS = 33.0
"""Seconds from the start, as all of these."""


async def run_overload(store, log, seed, load, loses_hosts) -> Outcomes:
    """Return what becomes of programs as three of five engines leave.

    Parameters
    ----------
    store : FakeStore
    log : EventLog
    seed : int
    load : float
        Programs that begin, for each that the engines that stay can finish.
    loses_hosts : bool
        Whether all hosts are lost for a second.
    """
    fleet = Fleet(5, 5, store, log, seed)
    beacons = asyncio.create_task(fleet.exchange_beacons())
    loading = asyncio.create_task(
        fleet.load(load * CAPACITY_PROGRAMS_PER_SECOND, END_SECONDS)
    )
    await asyncio.sleep(ENGINES_LEAVE_AT_SECONDS)
    fleet.remove_engines(5 - N_REMAINING_ENGINES)
    await asyncio.sleep(HOSTS_KILLED_AT_SECONDS - fleet.now)
    if loses_hosts:
        fleet.kill_all()
        await asyncio.sleep(HOSTS_RESTART_AT_SECONDS - fleet.now)
        fleet.start_all()
    await loading
    beacons.cancel()
    return fleet.outcomes


class TestLossOfAllHosts:
    """Three of five engines leave, then all hosts are lost and come back."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_end_in_time_after_restart(self, store, log, seed):
        """All hosts are killed while two engines have to do the work of five. When
        the hosts are back, everybody who waited asks again at once, and new callers
        come as before. Each host sent whatever arrived to the engines. Their queues
        filled, every program took a little of them, and none got through all of its
        turns in time: callers gave up on work that was half done, and 12 s later
        still nobody was served, although the engines never stood idle. In the record
        of such a day an engine had four requests for each of its places, and turns
        waited 0.95 s for their first event where they wait 0.02 s on a calm one
        (`target_load=4.0` in the hosts' lines).
        """
        outcomes = run_paused(run_overload(store, log, seed, 1.25, loses_hosts=True))
        served = outcomes.count(
            outcomes.finished_in_time, SETTLED_AT_SECONDS, END_SECONDS
        )
        assert served >= MIN_GOODPUT_FRACTION * CAPACITY_PROGRAMS_PER_SECOND * (
            END_SECONDS - SETTLED_AT_SECONDS
        )

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_are_admitted_again_when_engines_suffice(self, store, log, seed):
        """The engines that stay can do what is asked for. After the return of the
        hosts all ask at once, and programs are turned away for a moment; a share that
        stayed low would turn callers away from idle engines.
        """
        outcomes = run_paused(run_overload(store, log, seed, 0.7, loses_hosts=True))
        served = outcomes.count(
            outcomes.finished_in_time, SETTLED_AT_SECONDS, END_SECONDS
        )
        begun = outcomes.count(outcomes.started, SETTLED_AT_SECONDS, END_SECONDS)
        assert served >= 0.95 * begun


class TestOverload:
    """More programs begin than the engines can finish, and nothing else is wrong."""

    @pytest.mark.parametrize("load", [1.3, 2.0, 4.0])
    def test_programs_end_in_time_at_any_load(self, store, log, load):
        """Callers ask for up to four times what the engines can do, for as long as
        they like. Without a bound on programs under way all of them slow down
        together, and the more is asked for, the fewer end in time.
        """
        outcomes = run_paused(run_overload(store, log, 1, load, loses_hosts=False))
        served = outcomes.count(
            outcomes.finished_in_time, SETTLED_AT_SECONDS, END_SECONDS
        )
        assert served >= MIN_GOODPUT_FRACTION * CAPACITY_PROGRAMS_PER_SECOND * (
            END_SECONDS - SETTLED_AT_SECONDS
        )

    def test_refusals_are_immediate(self, store, log):
        """Callers who wait for a refusal lose the time in which they could ask
        elsewhere.
        """
        outcomes = run_paused(run_overload(store, log, 1, 2.0, loses_hosts=False))
        assert outcomes.refusals
        for refused in outcomes.refusals:
            assert refused.seconds <= 0.1
            assert refused.retry_after > 0.0


class TestProgramsUnderWay:
    """Programs that have begun go on while new ones are turned away."""

    def test_restarted_host_recognises_them_by_stored_rows(self, store, log):
        """All hosts are lost, and no host remembers any program. Taken for new ones,
        the programs that were under way would be turned away while the engines are
        full, with all that was spent on them.
        """

        async def ask_after_loss():
            fleet = Fleet(1, 1, store, log, 1)
            before = await fleet.ask("begun", 4.0)
            fleet.kill_all()
            fleet.start_all()
            fleet.report_engine_load(2 * ENGINE_CONCURRENCY)
            return before, await fleet.ask("new", 4.0), await fleet.ask("begun", 4.0)

        before, new, begun = run_paused(ask_after_loss())
        assert before.is_whole
        assert new.status == 503
        assert begun.is_whole

    def test_hanging_store_delays_no_refusal(self, store, log):
        """The store hangs while engines are full: whether a program has begun can't
        be read, and its caller would wait for the store in vain.
        """

        async def ask_while_store_hangs():
            fleet = Fleet(1, 1, store, log, 1)
            fleet.report_engine_load(2 * ENGINE_CONCURRENCY)
            store.hangs = True
            await fleet.ask("unknown", 4.0)
            return fleet.outcomes.refusals

        (refused,) = run_paused(ask_while_store_hangs())
        assert refused.seconds <= 0.1
        assert refused.retry_after > 0.0
