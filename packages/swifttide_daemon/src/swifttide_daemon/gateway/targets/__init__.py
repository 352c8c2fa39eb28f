"""Targets: connections to them, their answers, health, order and pace."""
