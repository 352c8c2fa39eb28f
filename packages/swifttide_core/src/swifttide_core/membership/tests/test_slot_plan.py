"""Tests of the slots that hosts claim and hand over."""

from dataclasses import replace

from swifttide_core.membership import (
    HostRow,
    HostState,
    SlotRow,
    assign_slots,
    plan_claims,
    plan_handovers,
    ring_successors,
)

N_SLOTS = 32


def host_row(host, state=HostState.LIVE, incarnation="1"):
    return HostRow(host, "z", incarnation, "", "", state=state)


def rows_by_host(*rows):
    return {row.host: row for row in rows}


class TestPlanClaims:
    def test_live_hosts_claim_each_free_slot_once(self):
        hosts = rows_by_host(host_row("h0"), host_row("h1"))
        slots = [SlotRow(slot) for slot in range(N_SLOTS)]
        claimed = [r.slot for h in hosts for r in plan_claims(h, slots, hosts)]
        assert sorted(claimed) == list(range(N_SLOTS))

    def test_slots_of_previous_incarnation_are_free(self):
        """Guards against a restarted host acting for slots of its old process.

        The new process has the same host id, but does not know the state of the old
        one, so that the slots count as free until it claims them again.
        """
        hosts = rows_by_host(host_row("h0", incarnation="2"))
        slots = [SlotRow(0, "h0", "1", epoch=4)]
        assert plan_claims("h0", slots, hosts) == slots

    def test_paused_but_not_deposed_holder_keeps_its_slots(self):
        hosts = rows_by_host(host_row("h0"), host_row("h1"))
        slots = [SlotRow(s, "h1", "1", epoch=1) for s in range(N_SLOTS)]
        assert plan_claims("h0", slots, hosts) == []


class TestPlanHandovers:
    def test_leaving_host_hands_over_all_slots(self):
        hosts = rows_by_host(host_row("h0", HostState.LEAVING), host_row("h1"))
        slots = [SlotRow(s, "h0", "1", epoch=1) for s in range(N_SLOTS)]
        assert plan_handovers("h0", slots, hosts) == slots

    def test_last_host_keeps_its_slots(self):
        hosts = rows_by_host(host_row("h0", HostState.LEAVING))
        assert plan_handovers("h0", [SlotRow(0, "h0", "1", 1)], hosts) == []

    def test_joining_host_gets_its_share(self):
        hosts = rows_by_host(host_row("h0"), host_row("h1"))
        slots = [SlotRow(s, "h0", "1", epoch=1) for s in range(N_SLOTS)]
        moved = plan_handovers("h0", slots, hosts)
        freed = [replace(row, host="", incarnation="") for row in moved]
        assert 0 < len(moved) < N_SLOTS
        assert plan_claims("h1", freed, hosts) == freed

    def test_slot_whose_handover_failed_is_claimed_again(self):
        """Guards against a slot that its recorded holder denies for good.

        The write of the handover failed, and the next holder was lost.
        """
        hosts = rows_by_host(host_row("h0"))
        slots = [SlotRow(0, "h0", "1", epoch=4), SlotRow(1, "h0", "1", epoch=4)]
        assert plan_claims("h0", slots, hosts, {0: 4, 1: 3}) == slots[:1]


class TestAssignSlots:
    def assign(self, own_state, knows_head):
        own = host_row("h0", own_state)
        joining = replace(host_row("h1", incarnation="2"), knows_head=knows_head)
        hosts = rows_by_host(own, joining)
        slots = [SlotRow(s, "h0", "1", epoch=1, version=s) for s in range(N_SLOTS)]
        planned = plan_handovers("h0", slots, hosts)
        return planned, assign_slots("h0", planned, hosts)

    def test_joined_host_is_named_by_the_same_write(self):
        """Guards against slots without a holder between two writes."""
        planned, assigned = self.assign(HostState.LIVE, knows_head=5)
        assert assigned == [
            replace(row, host="h1", incarnation="2", epoch=2) for row in planned
        ]

    def test_host_that_has_not_joined_gets_no_slots(self):
        """Guards against slots of a host that is lost before anybody may depose it."""
        planned, assigned = self.assign(HostState.LIVE, knows_head=0)
        assert planned
        assert assigned == []

    def test_leaving_host_releases_slots_of_a_host_that_has_not_joined(self):
        planned, assigned = self.assign(HostState.LEAVING, knows_head=0)
        assert assigned == [replace(row, host="", incarnation="") for row in planned]


class TestRingNeighbours:
    def test_wraps_around(self):
        assert ring_successors("c", "abcd", n=2) == ["d", "a"]
