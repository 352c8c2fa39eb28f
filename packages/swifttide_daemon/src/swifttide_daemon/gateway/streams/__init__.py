"""Streams of callers: at which software they began, and where they may go on."""
