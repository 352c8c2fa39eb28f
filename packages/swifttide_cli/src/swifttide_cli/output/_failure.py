"""The outcome of a command that failed."""

from dataclasses import dataclass, field
from typing import Any

from swifttide_cli.exit_codes import ExitCode


@dataclass(frozen=True, slots=True)
class Failure:
    """What went wrong and what to do next.

    Parameters
    ----------
    code : ExitCode
        Exit code of the command.
    message : str
        What went wrong.
    advice : str
        What the operator can do next.
    details : tuple of str
        Further lines, such as every error of a file or both versions of a
        document.
    data : dict
        The same for machines.
    """

    code: ExitCode
    message: str
    advice: str
    details: tuple[str, ...] = ()
    data: dict[str, Any] = field(default_factory=dict)
