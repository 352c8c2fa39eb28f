"""Where lines were served last."""

from swifttide_daemon.gateway.callers._caller_request import CallerRequest, TurnTerms
from swifttide_daemon.gateway.turns._prompt_locations import (
    MAX_BRANCHES,
    PromptLocations,
)


def turn(line, prompt_tokens=500):
    """Return a turn of a line; a call of a tool has no prompt."""
    return CallerRequest(
        id="r",
        method="POST",
        target=b"/",
        host="h",
        fields=(),
        body=b"",
        api_key="",
        received_at=0.0,
        prompt_tokens=prompt_tokens,
        turn=TurnTerms(program="p", branch=line),
    )


class TestLinePlaces:
    def test_lines_of_customers_are_kept_apart(self):
        places = PromptLocations()
        places.record("a", turn("line"), "t1")
        places.record("b", turn("line"), "t2")
        assert places.last_target_id("a", turn("line")) == "t1"
        assert places.last_target_id("b", turn("line")) == "t2"
        assert places.last_target_id("c", turn("line")) is None

    def test_memory_is_bounded(self):
        """Callers name their lines themselves, as many as they like."""
        places = PromptLocations()
        for i in range(MAX_BRANCHES + 10):
            places.record("a", turn(f"line{i}"), "t1")
        assert places.last_target_id("a", turn("line0")) is None
        assert places.last_target_id("a", turn(f"line{MAX_BRANCHES}")) == "t1"

    def test_requests_without_prompt_or_line_leave_nothing(self):
        """Calls of tools bear the line of their turn, and go to other targets."""
        places = PromptLocations()
        places.record("a", turn("line"), "t1")
        places.record("a", turn("line", prompt_tokens=0), "tool")
        places.record("a", turn(""), "t2")
        assert places.last_target_id("a", turn("line")) == "t1"
        assert places.last_target_id("a", turn("line", prompt_tokens=0)) is None
        assert places.last_target_id("a", turn("")) is None
