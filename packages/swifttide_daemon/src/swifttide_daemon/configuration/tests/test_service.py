"""Tests of the configuration's freshness while the platform is unavailable."""

from types import SimpleNamespace

import pytest
from expression import Error, Ok
from freezegun import freeze_time

from swifttide_core.configuration import Change
from swifttide_core.documents import DocumentKind
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.store import PlatformError, Row

KEY = "ab" * 32
MAX_STALE_SECONDS = 60.0


def key_change(version, withdrawn):
    document = {"key_hash": KEY, "customer": "c", "withdrawn": withdrawn}
    return Change(version, DocumentKind.KEY, KEY, document)


@pytest.fixture
def clock():
    with freeze_time("2026-12-02") as frozen:
        yield frozen


def service(head):
    platform = SimpleNamespace(read=lambda table, key: head)
    found = ConfigService(platform, 1.0, MAX_STALE_SECONDS)
    found.apply_changes([key_change(1, False)])
    return found


class TestFreshness:
    def test_host_without_platform_and_peers_becomes_stale(self, clock):
        """The platform becomes unavailable and no peer has newer knowledge."""
        config = service(Ok(Row("head", 1, {"version": 1})))
        assert config.refresh()
        config.platform = SimpleNamespace(read=lambda *_: Error(PlatformError("x")))
        clock.tick(MAX_STALE_SECONDS - 1)
        assert not config.refresh()
        assert not config.is_stale()
        clock.tick(2)
        assert config.is_stale()

    def test_peer_that_reaches_the_platform_confirms_freshness(self, clock):
        """Only this zone can't reach the platform; a host of another zone still can."""
        config = service(Error(PlatformError("x")))
        config.apply_peer_changes(2, [key_change(2, True)])
        config.confirm_fresh(2, at=0.0)
        assert config.key(KEY) is None
        assert config.fresh_at == 0.0

    def test_peer_with_newer_version_does_not_confirm_freshness(self):
        """A peer has an edit that this host has not received."""
        config = service(Error(PlatformError("x")))
        config.confirm_fresh(2, at=0.0)
        assert config.is_stale()

    def test_older_version_from_the_store_does_not_confirm_freshness(self):
        """The store returns an older state, which doesn't exclude newer edits."""
        config = service(Ok(Row("head", 0, {"version": 0})))
        assert not config.refresh()
        assert config.is_stale()
