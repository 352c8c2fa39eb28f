"""Retry amplification under an outage of a target."""


def print_retries() -> None:
    """Print the table."""
