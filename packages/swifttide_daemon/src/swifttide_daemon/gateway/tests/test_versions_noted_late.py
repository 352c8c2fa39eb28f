"""Versions that are noted late, on a paused clock."""

import asyncio

import pytest

from swifttide_daemon.gateway.tests.test_version_rows import TIMEOUT_SECONDS, play

__all__ = ["play"]


async def lose_all_after(site, seconds):
    """Lose all hosts some time after a version joined; return a stream's origin."""
    assert TIMEOUT_SECONDS == 2.0
    site.release("v1", "v1", "v2")
    await asyncio.sleep(seconds)
    site.lose()
    site.release("v1", "v1")
    await asyncio.sleep(2.6)
    site.start()
    await asyncio.sleep(1.0)
    return await site.origin()


class TestNotedLate:
    @pytest.mark.parametrize("seconds", [0.0, 0.01])
    def test_hosts_lost_right_after_a_version_joined(self, play, seconds):
        """Guards against streams of a version that no host noted before its loss."""
        assert play(lambda site: lose_all_after(site, seconds)) is None

    @pytest.mark.parametrize("seconds", [0.1, 1.0])
    def test_hosts_lost_after_a_version_was_noted(self, play, seconds):
        assert play(lambda site: lose_all_after(site, seconds)) is None
