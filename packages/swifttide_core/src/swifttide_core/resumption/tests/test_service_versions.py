"""Versions of a service as all hosts have seen them."""

from swifttide_core.forwarding import TargetEntry
from swifttide_core.resumption import (
    STREAM_AGE_TIMEOUTS,
    ServiceVersions,
    VersionHistory,
)

AGE_MS = int(STREAM_AGE_TIMEOUTS * 2.0 * 1000)


class TestServiceVersions:
    def test_versions_come_and_go(self):
        noted = ServiceVersions(0).updated({"v1"}, 2.0, 100)
        assert noted.left_ms == {"v1": None}
        noted = noted.updated({"v2"}, 2.0, 200)
        assert noted.left_ms == {"v1": 200, "v2": None}
        noted = noted.updated({"v1", "v2"}, 2.0, 300)
        assert noted.left_ms == {"v1": None, "v2": None}

    def test_version_is_kept_while_its_streams_are_resumed(self):
        noted = ServiceVersions(0).updated({"v1"}, 2.0, 0).updated({"v2"}, 2.0, 1000)
        assert "v1" in noted.updated({"v2"}, 0.1, 1000 + AGE_MS - 1).left_ms
        assert "v1" not in noted.updated({"v2"}, 0.1, 1000 + AGE_MS).left_ms

    def test_what_differs(self):
        noted = ServiceVersions(0).updated({"v1"}, 2.0, 0)
        assert not noted.differs({"v1"}, 1.0)
        assert noted.differs({"v1"}, 3.0)
        assert noted.differs({"v1", "v2"}, 1.0)
        assert noted.differs(frozenset(), 1.0)


class TestHistory:
    def seen(self, history, version="v1", now=100.0):
        target = TargetEntry(
            "t", "chat", "10.0.0.1", 80, "a", 12, software_version=version
        )
        return history.versions_within("chat", 24.0, [target], now)

    def test_noted_versions_complete_a_young_history(self):
        history = VersionHistory()
        history.restart(99.0)
        assert self.seen(history).only_version is None
        history.add_noted("chat", ServiceVersions(0, 2.0, {"v1": None}), 90_000, 99.0)
        assert self.seen(history).only_version == "v1"

    def test_noted_version_that_has_no_target_any_more(self):
        """Guards against forgetting a version that left while all hosts were away."""
        history = VersionHistory()
        history.restart(99.0)
        history.add_noted("chat", ServiceVersions(0, 2.0, {"v1": None}), 90_000, 99.0)
        assert self.seen(history, "v2", 122.0).only_version is None
        assert self.seen(history, "v2", 124.0).only_version == "v2"

    def test_young_notes(self):
        history = VersionHistory()
        history.restart(99.0)
        noted = ServiceVersions(80_000, 2.0, {"v1": None})
        history.add_noted("chat", noted, 90_000, 99.0)
        assert self.seen(history, now=112.0).only_version is None
        assert self.seen(history, now=113.0).only_version == "v1"

    def test_notes_do_not_outlast_a_gap(self):
        history = VersionHistory()
        history.add_noted("chat", ServiceVersions(0, 2.0, {"v1": None}), 90_000, 99.0)
        history.restart(99.5)
        assert self.seen(history).only_version is None
