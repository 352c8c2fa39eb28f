"""Events of turns in progress."""

from swifttide_core.resumption import TurnEvent, TurnEventRecords
from swifttide_core.resumption._turn_event_records import MAX_EVENT_BYTES


def events(*ids, text=b"x"):
    return tuple(TurnEvent(n, text) for n in ids)


def add_events(records, first, last, attempt="a", now=0.0, text=b"x"):
    """Add the events with these ids, both included, of an attempt's answer."""
    numbers = range(first, last + 1)
    records.add("k", attempt, first - 1, events(*numbers, text=text), 10.0, now)


class TestFind:
    def test_beginning_up_to_an_event(self):
        records = TurnEventRecords()
        add_events(records, 1, 3)
        add_events(records, 4, 5)
        assert records.find("k", "", 4, 1.0) == {events(1, 2, 3, 4)}
        assert records.find("k", "a", 5, 1.0) == {events(1, 2, 3, 4, 5)}

    def test_unknown(self):
        records = TurnEventRecords()
        add_events(records, 1, 3)
        assert not records.find("k", "", 4, 1.0)
        assert not records.find("k", "b", 3, 1.0)
        assert not records.find("other", "", 3, 1.0)
        assert not records.find("k", "", 3, 10.0)

    def test_lost_message_leaves_a_gap(self):
        """Guards against a beginning without the events of a message that was lost."""
        records = TurnEventRecords()
        add_events(records, 1, 3)
        add_events(records, 5, 6)
        assert not records.find("k", "", 6, 1.0)

    def test_answers_that_differ(self):
        """Guards against the beginning of another answer to the same turn."""
        records = TurnEventRecords()
        add_events(records, 1, 3)
        add_events(records, 1, 3, "b", text=b"y")
        assert len(records.find("k", "", 2, 1.0)) == 2
        assert records.find("k", "b", 2, 1.0) == {events(1, 2, text=b"y")}

    def test_answer_that_begins_anew(self):
        records = TurnEventRecords()
        add_events(records, 1, 5)
        add_events(records, 1, 2)
        assert records.find("k", "", 2, 1.0) == {events(1, 2)}
        assert not records.find("k", "", 3, 1.0)

    def test_event_without_data_or_id(self):
        records = TurnEventRecords()
        found = (TurnEvent(None, b"x"), TurnEvent(1, None))
        records.add("k", "a", 0, found, 10.0, 0.0)
        assert records.find("k", "", 1, 1.0) == {found}


class TestSize:
    def test_oldest_are_dropped(self):
        records = TurnEventRecords()
        for n in range(40):
            records.add(f"k{n}", "a", 0, events(1, text=b"x" * 1_000_000), 10.0, 0.0)
            assert records.n_bytes <= MAX_EVENT_BYTES
        assert not records.find("k0", "", 1, 1.0)
        assert records.find("k39", "", 1, 1.0)

    def test_expired_are_dropped(self):
        records = TurnEventRecords()
        add_events(records, 1, 3)
        records.add("late", "a", 0, events(1), 10.0, 20.0)
        assert records.n_bytes == events(1)[0].n_bytes
