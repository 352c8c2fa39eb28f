"""Refuses requests that have crashed their targets."""

from swifttide_daemon.strikes._strike_service import StrikeService, decode_strike

__all__ = ["StrikeService", "decode_strike"]
