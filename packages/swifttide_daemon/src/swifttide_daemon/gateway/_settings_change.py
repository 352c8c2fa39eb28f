"""Decides which changed settings are applied while the process runs."""

import dataclasses
from dataclasses import dataclass

from swifttide_daemon.gateway._settings import GatewaySettings

RELOADABLE_SETTINGS = frozenset({"stop_seconds"})
"""Names of the settings that are applied without a restart."""


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """Result of comparing new settings with the current ones.

    Only the settings in `RELOADABLE_SETTINGS` are applied. All others, such as
    addresses, need a restart.

    Parameters
    ----------
    settings : GatewaySettings
        Settings in effect from now on.
    in_force, needs_restart : tuple of str
        Names of the changed settings that are applied now, and of those that take
        effect at the next start.
    """

    settings: GatewaySettings
    in_force: tuple[str, ...]
    needs_restart: tuple[str, ...]

    @classmethod
    def between(cls, old: GatewaySettings, new: GatewaySettings) -> "SettingsChange":
        """Compare the current settings with new ones."""
        names = [f.name for f in dataclasses.fields(new)]
        changed = [n for n in names if getattr(new, n) != getattr(old, n)]
        in_force = tuple(n for n in changed if n in RELOADABLE_SETTINGS)
        values = {n: getattr(new, n) for n in in_force}
        needs_restart = tuple(n for n in changed if n not in RELOADABLE_SETTINGS)
        return cls(dataclasses.replace(old, **values), in_force, needs_restart)
