"""What every stand-in takes on its command line."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServeOptions:
    """Where and how to listen.

    Parameters
    ----------
    port : int
        Port on loopback; 0 lets the OS choose.
    ready_file : str
        File that gets ``{"port": N}`` once the stand-in listens; empty for none.
    threads : int
        Worker threads; each stream takes one.
    """

    port: int = 0
    ready_file: str = ""
    threads: int = 64
