"""Answer of a plain service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Status, body and checked content type of a service's answer."""

    status: int
    body: bytes
    content_type: str
