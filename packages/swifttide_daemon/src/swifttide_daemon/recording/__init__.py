"""Recording of traces that ``swifttide replay`` takes."""

from swifttide_daemon.recording._recorder import RecordedRun, Recorder

__all__ = ["RecordedRun", "Recorder"]
