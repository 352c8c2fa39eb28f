"""Datagram by which hosts tell each other at which software a stream began."""

import msgspec


class StreamBegan(msgspec.Struct, array_like=True, tag="stream_began"):
    """Remember the origin of a stream.

    Parameters
    ----------
    key : str
        Key of the stream.
    service : str
    software_version : str
        See `StreamOrigin`.
    seconds : float
        Time for which it is to be remembered.
    request : str
        Key of what was asked; empty if unknown.
    """

    key: str
    service: str
    software_version: str
    seconds: float
    request: str = ""
