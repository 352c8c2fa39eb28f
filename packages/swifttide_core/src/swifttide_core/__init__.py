"""Decisions of the swifttide scheduler; no sockets, no threads, no clock."""
