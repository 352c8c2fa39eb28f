"""Settings of an engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """How an engine behaves.

    Parameters
    ----------
    models : tuple of str
        Loaded from the start.
    words_per_second : float
        Of each stream.
    prefill_words_per_second : float
        Speed over the part of a prompt that isn't cached.
    max_running : int
        Streams at once; further ones wait in order of arrival.
    cache_capacity_bytes : int
        Prefix cache; the longest unused program is dropped first.
    load_lag_seconds : float
        Age of what ``GET /v1/load`` answers.
    load_model_seconds : float
        Time that an order to load a model takes.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    platform_url : str
        Where exported caches go; empty for none.
    crash_on : str
        Text that ends the process, from the start on; empty for none.
    """

    models: tuple[str, ...] = ("default",)
    words_per_second: float = 100.0
    prefill_words_per_second: float = 20_000.0
    max_running: int = 16
    cache_capacity_bytes: int = 64 * 2**20
    load_lag_seconds: float = 0.5
    load_model_seconds: float = 0.5
    checks_fencing: bool = False
    platform_url: str = ""
    crash_on: str = ""
