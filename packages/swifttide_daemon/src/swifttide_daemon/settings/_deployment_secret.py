"""The secret by which peers prove that they belong together."""

from pathlib import Path

from expression import Error, Ok, Result

from swifttide_core.checks import FieldError

SHORTEST_SECRET_BYTES = 32
_PATH = "deployment_secret_file"


def read_deployment_secret(path: str) -> Result[bytes, FieldError]:
    """Read and check the secret.

    An empty file, left by a copy that failed, would make every host of the fleet
    accept calls that anybody signed with nothing.

    Parameters
    ----------
    path : str
        File; white space around its content doesn't count.

    Returns
    -------
    Result
        The secret, or what is wrong with its file, without any of the content.
    """
    expected = f"a file with {SHORTEST_SECRET_BYTES} bytes or more"
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as exc:
        got = f"{path}, which can't be read ({type(exc).__name__})"
        return Error(FieldError(_PATH, got, expected))
    if len(secret) < SHORTEST_SECRET_BYTES:
        return Error(FieldError(_PATH, f"{len(secret)} bytes in {path}", expected))
    return Ok(secret)
