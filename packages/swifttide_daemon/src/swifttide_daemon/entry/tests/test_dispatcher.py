"""Tests of the choice of the host to which a call is sent."""

from types import SimpleNamespace

import pytest
from expression import Error, Ok

from swifttide_daemon.calls import Call, CallKind, CallTable, Finished, encode_event
from swifttide_daemon.entry import _dispatcher
from swifttide_daemon.entry._dispatcher import Dispatcher
from swifttide_daemon.targets import not_holder

ZONES = ("za", "zb", "zc")
FINISHED = Finished(status=200, body=b"{}")


class Membership:
    """Membership stub in which only the given zones have holders."""

    def __init__(self, *with_holder):
        self.me = host_of("zb", "h1")
        self._with_holder = with_holder
        self.n_reads = 0

    def zones(self):
        return list(ZONES)

    def slot(self, kind, key):
        return 0

    def holder(self, kind, key, zone):
        return host_of(zone) if zone in self._with_holder else None

    def invalidate_views(self):
        self.n_reads += 1


class Peers:
    """Peer client stub; the hosts of the given zones deny every slot."""

    def __init__(self, *denying):
        self._denying = denying
        self.asked = []

    def stream(self, url, path, call, read_seconds, traceparent):
        self.asked.append(url)
        if url.partition("-")[0] in self._denying:
            return Error(not_holder("program"))
        return Ok([encode_event(FINISHED)])


def host_of(zone, name="h0"):
    host = f"{zone}-{name}"
    return SimpleNamespace(host=host, zone=zone, incarnation=f"{host}-1", peer_url=host)


def follow(membership, peers, program):
    """Return the events of a call without keep-alives, and the runs at this host."""
    ran_here = []

    def run(call, running, traceparent):
        ran_here.append(call.request_id)
        running.append(FINISHED)

    dispatcher = Dispatcher(membership, peers, CallTable(run), 5.0)
    call = Call("r", CallKind.CHAT, "club", "", "night", program, program)
    events = [e for e in dispatcher.follow(call, "") if isinstance(e, Finished)]
    return events, ran_here


def holder(membership, program=""):
    call = SimpleNamespace(program=program, placement_key="key")
    return Dispatcher(membership, None, None, 5.0).holder(call)


class TestHolder:
    def test_single_call_stays_in_the_local_zone(self):
        assert holder(Membership(*ZONES)).zone == "zb"

    def test_single_call_moves_to_another_zone_without_a_local_holder(self):
        """Guards against refused single calls while a lease in one zone has expired."""
        assert holder(Membership("za", "zc")).zone in ("za", "zc")

    def test_program_stays_in_its_home_zone(self):
        home = holder(Membership(*ZONES), "p").zone
        assert holder(Membership(home), "p").zone == home

    def test_no_holder_at_all(self):
        assert holder(Membership()) is None


class TestDeniedSlot:
    @pytest.fixture(autouse=True)
    def no_pause(self, monkeypatch):
        monkeypatch.setattr(_dispatcher, "HOLDER_RETRY_INTERVAL_SECONDS", 0.0)

    def test_program_moves_to_the_next_zone(self):
        """Guards against programs without answers while the lease of their recorded
        holder has expired and no host can claim its slots.
        """
        membership = Membership("za", "zc")
        home = holder(membership, "p").zone
        peers = Peers(home)
        events, _ = follow(membership, peers, "p")
        assert len(events) == 1
        assert peers.asked[-1] != f"{home}-h0"

    def test_view_is_read_again_before_the_slot_counts_as_denied(self):
        """Guards against programs that leave their zone when a slot has only moved."""
        membership = Membership("za", "zc")
        home = holder(membership, "p").zone
        peers = Peers(home)
        follow(membership, peers, "p")
        assert peers.asked.count(f"{home}-h0") == 2
        assert membership.n_reads == 2

    def test_host_that_returns_is_selected_again(self):
        """Guards against a zone that loses its programs after it has recovered."""
        denied = _dispatcher.DeniedSlots()
        denied.add(host_of("za"), 0, now=10.0)
        returned = host_of("za")
        returned.incarnation = "za-h0-2"
        assert denied.contains(host_of("za"), 0, now=12.9)
        assert not denied.contains(host_of("za"), 0, now=13.0)
        assert not denied.contains(returned, 0, now=11.0)
        assert not denied.contains(host_of("za"), 1, now=11.0)


class TestSingleCall:
    def test_runs_at_the_entry_host_without_any_holder(self):
        """Guards against refusals of calls for which a holder decides nothing."""
        events, ran_here = follow(Membership(), Peers(), "")
        assert len(events) == len(ran_here) == 1
