"""The swifttide command, with which operators edit profiles and keys."""
