"""Versions that a service's targets have had."""

from swifttide_core.forwarding import TargetEntry
from swifttide_core.resumption import VersionHistory, VersionsSeen


def target(version, service="chat", id="t"):
    return TargetEntry(id, service, "10.0.0.1", 80, "a", 12, software_version=version)


class TestVersionHistory:
    def test_only_version_of_the_whole_period(self):
        history = VersionHistory()
        history.restart(100.0)
        targets = [target("v1", id="t1"), target("v1", id="t2"), target("v2", "app")]
        seen = history.versions_within("chat", 8.0, targets, now=108.0)
        assert seen.only_version == "v1"

    def test_start_within_the_period(self):
        """Guards against a host that takes the versions it found for all there were."""
        history = VersionHistory()
        history.restart(100.0)
        seen = history.versions_within("chat", 8.0, [target("v1")], now=107.0)
        assert (seen.versions, seen.only_version) == ({"v1"}, None)

    def test_version_that_left_within_the_period(self):
        history = VersionHistory()
        history.restart(0.0)
        history.record_left(target("v1"), now=100.0)
        serving = [target("v2")]
        assert history.versions_within("chat", 8.0, serving, 105.0).only_version is None
        assert history.versions_within("chat", 8.0, serving, 109.0).only_version == "v2"

    def test_history_that_was_never_read(self):
        seen = VersionHistory().versions_within("chat", 8.0, [target("v1")], now=1e9)
        assert seen.only_version is None

    def test_two_observers_know_what_either_has_seen(self):
        one = VersionsSeen(frozenset({"v1"}), is_complete=True)
        late = VersionsSeen(frozenset({"v1"}))
        assert (one | late).only_version == "v1"
        assert (one | VersionsSeen(frozenset({"v2"}))).only_version is None
        assert VersionsSeen(frozenset(), is_complete=True).only_version is None
