"""Index of targets by served model or service and by zone.

Load pattern: 600 targets and 1,200 selections per second. Filtering all targets for
each selection costs more than the selection itself, so the index is built once for each
new set of targets.
"""

from collections import defaultdict

from swifttide_core.routing._target_view import TargetView


class TargetIndex:
    """Index of eligible targets.

    Parameters
    ----------
    views : tuple of TargetView
        All targets known to the host.
    """

    def __init__(self, views: tuple[TargetView, ...]) -> None:
        self.views = views
        self._by_name = {view.name: view for view in views}
        self._in_zone: dict[tuple[str, str], list[TargetView]] = defaultdict(list)
        self._outside_zone: dict[tuple[str, str], list[TargetView]] = defaultdict(list)
        self._zones = tuple(dict.fromkeys(view.zone for view in views))
        for view in views:
            if not view.eligible:
                continue
            for served in view.serves:
                self._in_zone[served, view.zone].append(view)
                for zone in self._zones:
                    if zone != view.zone:
                        self._outside_zone[served, zone].append(view)

    def find(self, name: str, serves: str) -> TargetView | None:
        """Return a target by name if it is eligible and serves the request, or None."""
        view = self._by_name.get(name)
        if view is None or not view.eligible or serves not in view.serves:
            return None
        return view

    def in_zone(self, serves: str, zone: str) -> list[TargetView]:
        """Return the eligible targets of one zone."""
        return self._in_zone.get((serves, zone), [])

    def outside_zone(self, serves: str, zone: str) -> list[TargetView]:
        """Return the eligible targets of the other zones.

        Notes
        -----
        For a zone without any targets, the targets of all zones are returned, grouped
        by zone.
        """
        if zone in self._zones:
            return self._outside_zone.get((serves, zone), [])
        return [v for z in self._zones for v in self.in_zone(serves, z)]
