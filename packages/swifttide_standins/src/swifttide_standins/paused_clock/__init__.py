"""An event loop whose clock tests pause."""

from swifttide_standins.paused_clock._paused_loop import run_paused

__all__ = ["run_paused"]
