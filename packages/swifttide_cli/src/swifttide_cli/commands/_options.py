"""Options that every command takes, before or after its name."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from expression import Error, Ok, Result

from swifttide_cli.api import OperatorClient
from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure

URL_VARIABLE = "SWIFTTIDE_URL"
KEY_VARIABLE = "SWIFTTIDE_OPERATOR_KEY"
_OTHERS_MAY_READ = 0o077


@dataclass(frozen=True)
class Options:
    """Where daemons are and how output looks.

    Parameters
    ----------
    url : str
        Callers' ports of daemons.
    key_file : str
        File with the operator's key.
    as_json : bool
        Whether output is for machines.
    """

    url: Annotated[
        str,
        cappa.Arg(
            long="--url",
            propagate=True,
            default=cappa.Env(URL_VARIABLE),
            show_default=False,
            help=f"Callers' port of a daemon, or several with commas between them "
            f"(default: {URL_VARIABLE}).",
        ),
    ] = ""
    key_file: Annotated[
        str,
        cappa.Arg(
            long="--key-file",
            propagate=True,
            show_default=False,
            help=f"File with the operator's key (default: {KEY_VARIABLE}).",
        ),
    ] = ""
    as_json: Annotated[
        bool,
        cappa.Arg(long="--json", propagate=True, help="Print JSON, for machines."),
    ] = False

    def client(self) -> Result[OperatorClient, Failure]:
        """Create a client of the fleet."""
        urls = tuple(u.strip() for u in (self.url or "").split(",") if u.strip())
        if not urls:
            return Error(_usage("no daemon is named", f"give --url or {URL_VARIABLE}."))
        odd = [u for u in urls if not u.startswith(("http://", "https://"))]
        if odd:
            advice = "give a URL such as http://127.0.0.1:8800."
            return Error(_usage(f"{odd[0]!r} is no URL of a daemon", advice))
        return self._read_key().map(lambda key: OperatorClient(urls, key))

    def _read_key(self) -> Result[str, Failure]:
        if not self.key_file:
            return _checked_key(os.environ.get(KEY_VARIABLE, ""), KEY_VARIABLE)
        path = Path(self.key_file)
        try:
            mode = path.stat().st_mode
            text = path.read_text(encoding="ascii")
        except (OSError, UnicodeDecodeError) as exc:
            message = f"{path}: the key can't be read ({type(exc).__name__})"
            return Error(_usage(message, "check the name and rights of the file."))
        if mode & _OTHERS_MAY_READ:
            message = f"{path}: other users may read the key"
            return Error(_usage(message, f"run `chmod 600 {path}`."))
        return _checked_key(text, str(path))


def _checked_key(text: str, source: str) -> Result[str, Failure]:
    key = text.strip()
    if not key:
        advice = f"set {KEY_VARIABLE}, or give --key-file."
        return Error(_usage("no operator's key is given", advice))
    if not (key.isascii() and key.isprintable()) or " " in key:
        advice = "give the key as `swifttide key grant` printed it."
        return Error(_usage(f"{source} holds no key", advice))
    return Ok(key)


def _usage(message: str, advice: str) -> Failure:
    return Failure(ExitCode.USAGE, message, advice)
