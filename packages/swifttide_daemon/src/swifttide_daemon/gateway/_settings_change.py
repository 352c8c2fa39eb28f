"""Settings that changed while the process runs."""

import dataclasses
from dataclasses import dataclass

from swifttide_daemon.gateway._settings import GatewaySettings

RELOADABLE_SETTINGS = frozenset({"stop_seconds"})
"""Settings that are taken while the process runs."""


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """What becomes of new settings; those that name addresses need a restart.

    Parameters
    ----------
    settings : GatewaySettings
        As they are in force from now on.
    in_force, needs_restart : tuple of str
        Names of the settings that changed, and are taken now or at the next start.
    """

    settings: GatewaySettings
    in_force: tuple[str, ...]
    needs_restart: tuple[str, ...]

    @classmethod
    def between(cls, old: GatewaySettings, new: GatewaySettings) -> "SettingsChange":
        """Return the change from one to the other."""
        names = [f.name for f in dataclasses.fields(new)]
        changed = [n for n in names if getattr(new, n) != getattr(old, n)]
        in_force = tuple(n for n in changed if n in RELOADABLE_SETTINGS)
        values = {n: getattr(new, n) for n in in_force}
        needs_restart = tuple(n for n in changed if n not in RELOADABLE_SETTINGS)
        return cls(dataclasses.replace(old, **values), in_force, needs_restart)
