"""Rights of a host that end while its machine is suspended."""

import time
from types import SimpleNamespace

import pytest

from swifttide_core.membership import HostRow, LeaseTimes
from swifttide_daemon import _elapsed_clock
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.membership import LeaseKeeper
from swifttide_daemon.membership.tests.test_lease_keeper import Platform

MAX_STALE_SECONDS = 60.0


@pytest.fixture
def suspend(monkeypatch):
    """Suspend the machine for some seconds, which the monotonic clock doesn't count."""
    clocks = {time.CLOCK_BOOTTIME: 500.0, time.CLOCK_MONOTONIC: 500.0}

    def run(seconds):
        clocks[time.CLOCK_BOOTTIME] += seconds

    stopped = SimpleNamespace(
        CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
        CLOCK_MONOTONIC=time.CLOCK_MONOTONIC,
        clock_gettime=clocks.__getitem__,
        monotonic=lambda: 500.0,
    )
    monkeypatch.setattr(_elapsed_clock, "time", stopped)
    return run


def test_lease_of_slots(suspend):
    """Guards against two holders of a slot, as one of them was suspended."""
    row = HostRow("h1", "z", "", "", "")
    host = LeaseKeeper(Platform(), row, LeaseTimes(), lambda: 0)
    host.keep(0)
    assert host.holds()
    suspend(LeaseTimes().lease_seconds)
    assert not host.holds()
    host.keep(0)
    assert host.holds()


def test_configuration(suspend):
    """Guards against withdrawn keys that are accepted after a machine was suspended."""
    config = ConfigService(None, 1.0, MAX_STALE_SECONDS)
    config.confirm_fresh(0, _elapsed_clock.elapsed_seconds())
    assert not config.is_stale()
    suspend(MAX_STALE_SECONDS + 1.0)
    assert config.is_stale()
