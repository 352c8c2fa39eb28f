"""Decides at which targets a stream that broke off may go on, without I/O."""

from swifttide_core.resumption._stream_origin import StreamOrigin

__all__ = ["StreamOrigin"]
