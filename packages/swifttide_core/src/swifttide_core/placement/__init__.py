"""Placement of turns at the targets that are predicted to complete them first."""

__all__ = []
