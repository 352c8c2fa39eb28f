"""Records traces of calls and turns for ``swifttide replay``."""

from swifttide_daemon.recording._recorder import RecordedRun, Recorder

__all__ = ["RecordedRun", "Recorder"]
