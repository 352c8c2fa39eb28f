"""Events of an engine's stream, and the failure of a request to a target."""

from dataclasses import dataclass

from swifttide_core.verdicts import Reason, Verdict


@dataclass(frozen=True, slots=True)
class EngineText:
    """A piece of generated text.

    Parameters
    ----------
    index : int
        Number of the event, from 0. A resumed stream continues after the last one.
    text : str
    """

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class EngineDone:
    """End of a complete answer, with its token counts."""

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class TargetFailure(Exception):
    """A target did not give a complete answer to a request.

    Parameters
    ----------
    reason : Reason
    detail : str
    verdict : Verdict
        Whether the request ran, did not run, or may have run.
    connection_broke : bool
        Whether the connection broke while the request ran, so that the target may
        have crashed.
    model_not_loaded : bool
        Whether the engine has not loaded the model that its document says it serves.
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
