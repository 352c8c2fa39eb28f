"""Origins of streams as one host remembers them."""

import pytest

from swifttide_core.resumption import OriginRecords, StreamOrigin, _origin_records

V1, V2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")


class TestOriginRecords:
    def test_record_expires(self):
        records = OriginRecords()
        records.add("s", V1, 10.0, now=0.0)
        assert records.find("s", now=9.0) == V1
        assert records.find("s", now=10.0) is None
        assert records.find("other", now=0.0) is None

    def test_stream_keeps_its_first_origin(self):
        """Guards against a late message that gives a stream another version."""
        records = OriginRecords()
        records.add("s", V1, 10.0, now=0.0)
        records.add("s", V2, 10.0, now=5.0)
        assert records.find("s", now=14.0) == V1

    def test_resumed_stream_is_remembered_longer(self):
        records = OriginRecords()
        records.add("s", V1, 10.0, now=0.0)
        records.add("t", V1, 10.0, now=1.0)
        records.add("s", V1, 10.0, now=5.0)
        records.add("u", V1, 10.0, now=12.0)
        assert [records.find(key, now=12.0) for key in "stu"] == [V1, None, V1]

    @pytest.mark.parametrize(("now", "n_left"), [(1.0, 3), (30.0, 1)])
    def test_memory_is_bounded(self, monkeypatch, now, n_left):
        monkeypatch.setattr(_origin_records, "MAX_RECORDS", 3)
        records = OriginRecords()
        for key in "abcde":
            records.add(key, V1, 10.0, now=0.0)
        records.add("f", V1, 10.0, now)
        assert len(records) == n_left
        assert records.find("f", now) == V1
