"""Rows of the shared store: how they are reached, followed and removed."""
