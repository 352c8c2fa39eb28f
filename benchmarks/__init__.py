"""Measurements of the decisions under load: ``make bench`` and ``make bench-core``."""
