"""Cached views of the hosts and slots of other availability zones.

The views are refreshed periodically, and out of turn when a request finds no holder
for a slot.
"""

import random
from collections.abc import Iterable
from dataclasses import replace

from swifttide_core.membership import HostRow, HostState
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.membership._zone_reader import ZoneReader
from swifttide_daemon.membership._zone_view import ZoneView

ROUTED_ZONE_REFRESH_SECONDS = 5.0
"""Age at which the view of a zone that this host has sent requests to is refreshed."""

IDLE_ZONE_REFRESH_SECONDS = 30.0
"""Age at which the view of any other zone is refreshed.

Such a view is kept because this host may query the zone's hosts during an outage of
the platform.
"""

MIN_REREAD_INTERVAL_SECONDS = 1.0
"""Minimum time between two reads of a zone in which a slot seems to have no holder."""


class OtherZones:
    """Cached views of other zones, refreshed on the membership service's thread.

    Requests use the cached views. If they read the platform themselves, a platform
    that hangs would delay each request by the read timeout.

    Parameters
    ----------
    reader : ZoneReader
        Reads the hosts and slots of one zone from the platform.
    """

    def __init__(self, reader: ZoneReader) -> None:
        self.reader = reader
        self._views: dict[str, ZoneView] = {}
        self._routed_zones: set[str] = set()
        self._reread_at: dict[str, float] = {}

    def view(self, zone: str) -> ZoneView:
        """Return the view of a zone; the first call for a zone reads it.

        The first call doesn't use a view that `refresh` cached for outages: if that
        view was read while the other zone was starting, it lacks hosts, and the zone's
        programs would be served elsewhere until the next refresh.
        """
        if zone not in self._routed_zones:
            self._routed_zones.add(zone)
            read = self.reader.read(zone)
            self._views[zone] = read.default_value(self._views.get(zone, ZoneView()))
        return self._views.get(zone, ZoneView())

    def reread_view(self, zone: str) -> ZoneView:
        """Refresh and return the view of a zone in which a slot seems free.

        A host of the zone may have claimed the slot since the last read. The refresh
        is limited to one per `MIN_REREAD_INTERVAL_SECONDS`, so a zone without any
        hosts costs one small read per second.
        """
        known = self.view(zone)
        now = elapsed_seconds()
        if now - self._reread_at.get(zone, 0.0) >= MIN_REREAD_INTERVAL_SECONDS:
            self._reread_at[zone] = now
            self._views[zone] = replace(known, read_at=0.0)
            self.refresh([zone])
        return self._views[zone]

    def refresh(self, zones: Iterable[str]) -> None:
        """Read the zones whose view is due for a refresh and whose head row changed."""
        now = elapsed_seconds()
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

    def known_views(self) -> dict[str, ZoneView]:
        """Return the cached views by zone."""
        return dict(self._views)

    def adopt(self, zone: str, view: ZoneView) -> bool:
        """Replace the view of a zone by one of a peer, if that is newer."""
        known = self._views.get(zone) or ZoneView()
        if view.head_version <= known.head_version:
            return False
        self._views[zone] = view
        return True

    def invalidate(self) -> None:
        """Mark all cached views as out of date, so that the next refresh reads them."""
        self._views = {
            zone: replace(view, outdated=True, read_at=0.0)
            for zone, view in self._views.items()
        }

    def random_live_hosts(self) -> list[HostRow]:
        """Return one live host of each other zone, chosen at random on each call."""
        chosen = []
        for view in list(self._views.values()):
            rows = [r for r in view.hosts.values() if r.state is HostState.LIVE]
            if rows:
                chosen.append(random.choice(rows))
        return chosen

    def _is_unchanged(self, zone: str, known: ZoneView) -> bool:
        """Return whether a zone needn't be read again, or can't be read."""
        head = self.reader.head_version(zone)
        if head.is_error():
            return True
        return head.ok == known.head_version and not known.outdated
