"""The daemon ``swifttided``: HTTP servers and I/O around swifttide_core."""
