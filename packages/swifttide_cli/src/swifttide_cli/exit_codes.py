"""Exit codes of the command; part of its interface."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script can act on."""

    OK = 0
    """Done."""

    FAILED = 1
    """A daemon answered with an error that none of the others covers."""

    USAGE = 2
    """The command line is wrong, or a setting of the environment is missing."""

    INVALID = 3
    """A file or document doesn't pass its check; nothing was sent or accepted."""

    CONFLICT = 4
    """Someone else edited first; nothing was changed. Both versions are shown."""

    DENIED = 5
    """The operator's key is unknown or withdrawn."""

    NOT_FOUND = 6
    """No such document or program."""

    UNAVAILABLE = 7
    """No daemon answered, or it can't reach the platform; nothing was changed."""

    MAY_HAVE_APPLIED = 8
    """The answer to an edit was lost and reading back didn't settle it."""

    NOT_IN_FORCE = 9
    """Accepted, but not in force at every live host within ``--wait-seconds``."""
