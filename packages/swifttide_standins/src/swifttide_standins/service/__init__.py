"""Stand-in for a plain service: counts every arrival as an effect."""

from swifttide_standins.service._app import service_app
from swifttide_standins.service._effects import Effects

__all__ = ["Effects", "service_app"]
