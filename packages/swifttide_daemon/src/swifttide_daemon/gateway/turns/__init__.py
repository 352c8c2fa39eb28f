"""Turns whose history the fleet keeps, and where their prompts lie."""
