"""Recorded traces against stated outcomes."""
