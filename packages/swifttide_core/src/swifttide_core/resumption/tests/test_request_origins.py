"""Origins of streams by what was asked."""

from swifttide_core.resumption import RequestOrigins, StreamOrigin, _request_origins

V1, V2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")


class TestRequestOrigins:
    def test_streams_of_one_origin(self):
        origins = RequestOrigins()
        origins.add("r", V1, 10.0, now=0.0)
        origins.add("r", V1, 10.0, now=5.0)
        assert origins.find("r", now=14.0) == {V1}
        assert origins.find("r", now=15.0) == frozenset()
        assert origins.find("other", now=5.0) == frozenset()

    def test_streams_of_two_origins(self):
        """Guards against the last origin where an older stream may be resumed."""
        origins = RequestOrigins()
        origins.add("r", V1, 10.0, now=0.0)
        origins.add("r", V2, 10.0, now=5.0)
        assert origins.find("r", now=9.0) == {V1, V2}
        assert origins.find("r", now=10.0) == {V2}

    def test_memory_is_bounded(self, monkeypatch):
        monkeypatch.setattr(_request_origins, "MAX_REQUESTS", 3)
        origins = RequestOrigins()
        for key in "abcde":
            origins.add(key, V1, 10.0, now=0.0)
        assert [bool(origins.find(key, now=1.0)) for key in "abcde"] == [0, 0, 1, 1, 1]
