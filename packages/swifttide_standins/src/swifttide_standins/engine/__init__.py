"""Stand-in for a model engine: deterministic words, a prefix cache, faults."""

from swifttide_standins.engine._app import engine_app
from swifttide_standins.engine._chat import ChatRequest, Message
from swifttide_standins.engine._settings import EngineSettings
from swifttide_standins.engine._text import (
    count_tokens,
    expected_text,
    expected_words,
)

__all__ = [
    "ChatRequest",
    "EngineSettings",
    "Message",
    "count_tokens",
    "engine_app",
    "expected_text",
    "expected_words",
]
