"""Requests that crash their targets."""

from swifttide_daemon.strikes._strike_service import StrikeService, strike_of

__all__ = ["StrikeService", "strike_of"]
