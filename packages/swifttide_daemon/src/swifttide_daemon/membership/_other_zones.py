"""What a host knows of the other zones' hosts and slots."""

import random
import time
from collections.abc import Iterable
from dataclasses import replace

from swifttide_core.membership import HostRow, HostState
from swifttide_daemon.membership._zone_reader import ZoneReader
from swifttide_daemon.membership._zone_view import ZoneView

ROUTED_ZONE_REFRESH_SECONDS = 5.0
"""Age at which the view of a zone that requests go to is read again."""

IDLE_ZONE_REFRESH_SECONDS = 30.0
"""The same for a zone that nothing goes to; its hosts may be asked in an outage."""

MIN_REREAD_INTERVAL_SECONDS = 1.0
"""Least time between two looks at a zone in which a slot seems free."""


class OtherZones:
    """Views of other zones, refreshed on the membership service's thread.

    Read on a request's path, a platform that hangs would hold up each request for its
    timeout.

    Parameters
    ----------
    reader : ZoneReader
    """

    def __init__(self, reader: ZoneReader) -> None:
        self.reader = reader
        self._views: dict[str, ZoneView] = {}
        self._routed_zones: set[str] = set()
        self._reread_at: dict[str, float] = {}

    def view(self, zone: str) -> ZoneView:
        """Return the view of a zone, read at once only the first time.

        A view that was kept for an outage doesn't do: read while the other zone was
        starting, it would send its programs elsewhere until the next refresh.
        """
        if zone not in self._routed_zones:
            self._routed_zones.add(zone)
            read = self.reader.read(zone)
            self._views[zone] = read.default_value(self._views.get(zone, ZoneView()))
        return self._views.get(zone, ZoneView())

    def reread_view(self, zone: str) -> ZoneView:
        """Return the view of a zone in which a slot seemed free, read again.

        Its hosts may have claimed the slot since. A zone whose hosts are all gone
        costs one small read a second.
        """
        known = self.view(zone)
        now = time.monotonic()
        if now - self._reread_at.get(zone, 0.0) >= MIN_REREAD_INTERVAL_SECONDS:
            self._reread_at[zone] = now
            self._views[zone] = replace(known, read_at=0.0)
            self.refresh([zone])
        return self._views[zone]

    def refresh(self, zones: Iterable[str]) -> None:
        """Read again what is old and has changed."""
        now = time.monotonic()
        for zone in zones:
            known = self._views.get(zone) or ZoneView()
            pause = (
                ROUTED_ZONE_REFRESH_SECONDS
                if zone in self._routed_zones
                else IDLE_ZONE_REFRESH_SECONDS
            )
            if known.read_at > 0.0 and now - known.read_at < pause:
                continue
            if self._is_unchanged(zone, known):
                self._views[zone] = replace(known, read_at=now)
                continue
            read = self.reader.read(zone)
            if read.is_ok():
                self._views[zone] = read.ok

    def invalidate(self) -> None:
        """Have every zone read at the next refresh."""
        self._views = {
            zone: replace(view, head_version=-1, read_at=0.0)
            for zone, view in self._views.items()
        }

    def random_live_hosts(self) -> list[HostRow]:
        """Return one live host of each zone, another one each time."""
        chosen = []
        for view in list(self._views.values()):
            rows = [r for r in view.hosts.values() if r.state is HostState.LIVE]
            if rows:
                chosen.append(random.choice(rows))
        return chosen

    def _is_unchanged(self, zone: str, known: ZoneView) -> bool:
        """Return whether a zone's head stands still, or can't be read now."""
        head = self.reader.head_version(zone)
        return head.is_error() or head.ok == known.head_version
