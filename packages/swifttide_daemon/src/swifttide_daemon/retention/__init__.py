"""Engine memory: what programs that are gone still hold."""

from swifttide_daemon.retention._cache_keeper import CacheKeeper

__all__ = ["CacheKeeper"]
