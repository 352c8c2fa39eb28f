"""Tests of the choice of the host to which a call is sent."""

from types import SimpleNamespace

from swifttide_daemon.entry._dispatcher import Dispatcher

ZONES = ("za", "zb", "zc")


class Membership:
    """Membership stub in which only the given zones have holders."""

    def __init__(self, *with_holder):
        self.me = SimpleNamespace(zone="zb")
        self._with_holder = with_holder

    def zones(self):
        return list(ZONES)

    def holder(self, kind, key, zone):
        found = SimpleNamespace(host=f"{zone}-h0", zone=zone)
        return found if zone in self._with_holder else None


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
