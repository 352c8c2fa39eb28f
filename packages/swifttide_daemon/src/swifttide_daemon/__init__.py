"""The swifttided daemon: HTTP around the decisions of swifttide_core."""
