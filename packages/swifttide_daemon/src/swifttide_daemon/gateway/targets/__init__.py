"""Client side of the targets: connections, answers, health, order and rate limits."""
