"""Tests the messages to and from the scheduler's host."""

import msgspec
import pytest

from swifttide_core.forwarding import CustomerTerms
from swifttide_core.scheduling import (
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnResult,
    WorkClass,
)
from swifttide_daemon.gateway.callers._job import (
    RANKS_PER_PRIORITY,
    Progress,
    work_class,
)
from swifttide_daemon.gateway.peers._datagrams import Datagram
from swifttide_daemon.gateway.targets._order_messages import (
    AskEntry,
    AskPlace,
    OrderAnswer,
    TurnLeft,
)
from swifttide_daemon.gateway.targets._order_requests import (
    compose_ask,
    compose_turn_left,
    request_of,
    result_of,
)
from swifttide_daemon.gateway.targets._scheduler_states import split_snapshot
from swifttide_daemon.gateway.tests._overload import ROUTE

MAX_PACKET_BYTES = 1_472
ID = TurnId("10.255.255.255", "0123456789ab", 2**53 - 1)
WORK = WorkClass(2, "customer", "route")


def encoded(message) -> bytes:
    return msgspec.json.encode(message)


class TestVersions:
    """Hosts of an earlier version send and read fewer fields."""

    @pytest.mark.parametrize(
        ("data", "message"),
        [
            (
                b'["ask_entry","s","b",1,"p",2.5,null]',
                AskEntry("s", "b", 1, "p", 2.5),
            ),
            (
                b'["ask_place","s","b",1,"p","z","x","t",2.5,[],null,["t"]]',
                AskPlace("s", "b", 1, "p", "z", "x", "t", 2.5, connected=["t"]),
            ),
            (b'["order","b",1,"t",0.0]', OrderAnswer("b", 1, "t")),
            (b'["turn_left","s","b",1,"t",0.2,true]', None),
        ],
    )
    def test_messages_without_new_fields_are_read(self, data, message):
        """Guards against hosts that can't talk to each other during an update."""
        found = msgspec.json.decode(data, type=Datagram)
        assert found == (message or TurnLeft("s", "b", 1, "t", 0.2, True))

    def test_new_fields_are_ignored_by_an_earlier_version(self):
        """Guards against answers that hosts of an earlier version can't read."""

        class EarlierAnswer(msgspec.Struct, array_like=True, tag="order"):
            boot: str
            number: int
            target: str = ""
            retry_seconds: float = 0.0

        data = encoded(OrderAnswer("b", 1, "", 0.2, True))
        found = msgspec.json.decode(data, type=EarlierAnswer)
        assert found == EarlierAnswer("b", 1, "", 0.2)


class TestRequests:
    def test_requests_arrive_as_they_were_sent(self):
        """Guards against fields that are mixed up on the way."""
        for request in (
            ProgramRequest(ID, "p", WORK, 2.5, 0.25, frozenset({"r"})),
            PlacementRequest(
                ID, "p", "z", WORK, "x", "b", "t", 700, 300, 24.5, 3.0, 1.5, 0.25,
                frozenset({"t1"}), frozenset({"t2"}), frozenset({"r"}),
            ),
        ):  # fmt: skip
            assert request_of(compose_ask("s", request, 0.0), ID.host) == request

    def test_repeated_question_contains_the_elapsed_time(self):
        """Guards against a successor that takes waiting work for new work."""
        request = PlacementRequest(
            ID, "p", "z", program_seconds_left=0.5, waited_seconds=0.25
        )
        ask = compose_ask("s", request, 0.5)
        assert (ask.waited, ask.seconds, ask.program_seconds) == (0.75, 59.5, -0.001)
        assert request_of(ask, ID.host).program_seconds_left == -0.001

    def test_result_of_a_turn(self):
        """Guards against measured times of zero that count as not measured."""
        for result in (TurnResult(), TurnResult(0.0, 0.0, 2, True)):
            message = compose_turn_left("s", ID, "t", result)
            assert result_of(message) == result

    @pytest.mark.parametrize("length", [48, 200])
    def test_longest_question_fits_into_one_packet(self, length):
        """Guards against questions that are lost with one of their fragments."""
        ids = frozenset(f"{i:02d}-{'x' * 37}" for i in range(40))
        text = '"' * length
        request = PlacementRequest(
            ID, "f" * 32, "z" * 32, WorkClass(10, text, text), text, text, "x" * 40,
            10**6, 10**6, 10**6 / 3, 59.999, 59.999, 1.234567, ids, ids,
            frozenset({"region-one", "region-two", "region-three"}),
        )  # fmt: skip
        assert len(encoded(compose_ask("s" * 40, request, 0.1))) <= MAX_PACKET_BYTES

    def test_parts_of_a_state_fit_into_packets(self):
        """Guards against states of many targets that no packet can contain."""
        values = [1 / 3] * 6
        snapshot = {
            "targets": {f"{i}-{'x' * 37}": values for i in range(40)},
            "routes": {"chat": values},
        }
        parts = split_snapshot("s" * 40, snapshot)
        assert max(len(encoded(part)) for part in parts) <= MAX_PACKET_BYTES
        assert sum(len(p.part.get("targets", {})) for p in parts) == 40
        assert parts[-1].part["routes"] == {"chat": [0.3333] * 6}


class TestWorkOfRequests:
    def test_priority_of_the_customer_overrides_that_of_the_route(self):
        """Guards against a most urgent customer, of priority 0, that isn't seen."""
        for priority, first in ((None, ROUTE.priority), (0, 0), (3, 3)):
            terms = CustomerTerms("c", (), priority=priority)
            rank = first * RANKS_PER_PRIORITY + ROUTE.priority
            assert work_class(ROUTE, terms) == WorkClass(rank, "c", ROUTE.name)

    def test_time_between_events(self):
        """Guards against a mean over too many gaps, and of a single event."""
        progress = Progress()
        progress.n_events, progress.first_seconds = 1, 0.5
        assert progress.gap_seconds is None
        progress.n_events, progress.last_seconds = 5, 0.9
        assert progress.gap_seconds == pytest.approx(0.1)
