"""What an engine's stream says."""

from dataclasses import dataclass

from swifttide_core.verdicts import Reason, Verdict


@dataclass(frozen=True, slots=True)
class EngineText:
    """A piece of text.

    Parameters
    ----------
    index : int
        Number of the event, from 0; a resumed stream goes on after the last one.
    text : str
    """

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class EngineDone:
    """The answer is whole."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class TargetFailure(Exception):
    """A target didn't give a whole answer to this very request.

    Parameters
    ----------
    reason : Reason
    detail : str
    verdict : Verdict
        What is known of the request.
    connection_broke : bool
        Whether the connection broke while the request ran, which a crash of the
        target would explain.
    model_not_loaded : bool
        Whether the engine hasn't loaded the model that its document says it serves.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str,
        verdict: Verdict,
        connection_broke: bool = False,
        model_not_loaded: bool = False,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.verdict = verdict
        self.connection_broke = connection_broke
        self.model_not_loaded = model_not_loaded
