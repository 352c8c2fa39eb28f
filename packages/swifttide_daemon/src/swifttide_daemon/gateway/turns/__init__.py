"""Stores transcripts of turns, and remembers which targets hold their prompts."""
