"""The answer of a plain service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Status and body as the service gave them."""

    status: int
    body: bytes
    content_type: str
