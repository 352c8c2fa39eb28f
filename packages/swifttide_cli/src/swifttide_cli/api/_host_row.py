"""A host as its peers know it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostRow:
    """One line of the list of hosts.

    Parameters
    ----------
    host, zone : str
        Its id and availability zone.
    state : str
        ``live``, ``leaving`` or ``dead``.
    config_version : int
        Version of the configuration in force there.
    incarnation : str or int
        Changes with each start of the process.
    """

    host: str
    zone: str
    state: str
    config_version: int
    incarnation: str | int = ""
