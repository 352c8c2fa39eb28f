"""Tests how many programs finish in time when callers ask for more than capacity."""

import asyncio

import pytest

from swifttide_daemon.gateway.tests._overload import N_TURNS, Fleet, Outcomes
from swifttide_daemon.gateway.tests._overload_engines import (
    ENGINE_CONCURRENCY,
    TURN_SECONDS,
)
from swifttide_standins.paused_clock import run_paused

N_REMAINING_ENGINES = 2
"""Engines that stay in service."""

CAPACITY_PROGRAMS_PER_SECOND = (
    N_REMAINING_ENGINES * ENGINE_CONCURRENCY / TURN_SECONDS / N_TURNS
)
"""Programs per second that the remaining engines can finish."""

MIN_GOODPUT_FRACTION = 0.85
"""Fraction of the capacity that has to finish in time under any overload."""

ENGINES_LEAVE_AT_SECONDS = 8.0
HOSTS_KILLED_AT_SECONDS = 12.0
HOSTS_RESTART_AT_SECONDS = 13.0

SETTLED_AT_SECONDS = HOSTS_RESTART_AT_SECONDS + 4.0
"""From this time on new programs have to be served as before."""

END_SECONDS = 33.0
"""End of the load. All times are in seconds from the start."""


async def run_overload(store, log, seed, load, loses_hosts) -> Outcomes:
    """Return the outcomes of programs when three of five engines leave.

    Parameters
    ----------
    store : FakeStore
    log : EventLog
    seed : int
    load : float
        Rate of new programs as a multiple of the remaining engines' capacity.
    loses_hosts : bool
        Whether all hosts are killed and restarted a second later.
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
    """Three of five engines leave, then all hosts are killed and restarted."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_end_in_time_after_restart(self, store, log, seed):
        """Guards against a congestion collapse after a restart of all hosts.

        All hosts are killed while two engines have to do the work of five. After the
        restart all waiting callers retry at once, and new callers arrive as before. The
        fault was that each host sent every request to the engines. Their queues filled,
        every program got some turns, and none finished all of its turns in time.
        Callers abandoned half-finished work, and 12 s later still no program was
        served, although the engines were never idle. In a record of this fault, an
        engine had four requests for each of its slots, and turns waited 0.95 s for
        their first event instead of 0.02 s at normal load (`target_load=4.0` in the
        hosts' log lines).
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
        """The load is within the capacity of the remaining engines. After the restart
        of the hosts all callers retry at once, and programs are turned away for a
        moment. If the admitted share stayed low after that, callers would be turned
        away from idle engines.
        """
        outcomes = run_paused(run_overload(store, log, seed, 0.7, loses_hosts=True))
        served = outcomes.count(
            outcomes.finished_in_time, SETTLED_AT_SECONDS, END_SECONDS
        )
        begun = outcomes.count(outcomes.started, SETTLED_AT_SECONDS, END_SECONDS)
        assert served >= 0.95 * begun


class TestOverload:
    """More programs begin than the engines can finish; there are no other faults."""

    @pytest.mark.parametrize("load", [1.3, 2.0, 4.0])
    def test_programs_end_in_time_at_any_load(self, store, log, load):
        """Callers ask for up to four times the capacity for an unlimited time. Without
        a limit on the programs under way all of them slow down together, and the
        number that finishes in time falls as the load grows.
        """
        outcomes = run_paused(run_overload(store, log, 1, load, loses_hosts=False))
        served = outcomes.count(
            outcomes.finished_in_time, SETTLED_AT_SECONDS, END_SECONDS
        )
        assert served >= MIN_GOODPUT_FRACTION * CAPACITY_PROGRAMS_PER_SECOND * (
            END_SECONDS - SETTLED_AT_SECONDS
        )

    def test_refusals_are_immediate(self, store, log):
        """Callers that wait for a refusal lose time in which they could try another
        service.
        """
        outcomes = run_paused(run_overload(store, log, 1, 2.0, loses_hosts=False))
        assert outcomes.refusals
        for refused in outcomes.refusals:
            assert refused.seconds <= 0.1
            assert refused.retry_after > 0.0


class TestProgramsUnderWay:
    """Programs that have begun continue while new ones are turned away."""

    def test_restarted_host_recognises_them_by_stored_rows(self, store, log):
        """All hosts are restarted, and no host has any program in memory. If the
        programs under way were taken for new ones, they would be turned away while the
        engines are full, and the work done for them would be lost.
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
        """The store hangs while the engines are full. Whether a program has begun
        cannot be read, and its caller must not wait for the store.
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
