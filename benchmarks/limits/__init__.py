"""Measurements of rate and burst, and of retries, on an advanced clock."""
