"""Tests the record of the targets that last served each branch of a program."""

from swifttide_daemon.gateway.callers._caller_request import CallerRequest, TurnTerms
from swifttide_daemon.gateway.turns._prompt_locations import (
    MAX_BRANCHES,
    PromptLocations,
)


def request(branch, prompt_tokens=500):
    """Return a turn of a branch; a tool call has no prompt."""
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
        turn=TurnTerms(program="p", branch=branch),
    )


class TestPromptLocations:
    def test_branches_of_customers_are_separate(self):
        locations = PromptLocations()
        locations.record("a", request("line"), "t1")
        locations.record("b", request("line"), "t2")
        assert locations.last_target_id("a", request("line")) == "t1"
        assert locations.last_target_id("b", request("line")) == "t2"
        assert locations.last_target_id("c", request("line")) is None

    def test_memory_is_bounded(self):
        """Callers choose the names of branches, so their number is not limited."""
        locations = PromptLocations()
        for i in range(MAX_BRANCHES + 10):
            locations.record("a", request(f"line{i}"), "t1")
        assert locations.last_target_id("a", request("line0")) is None
        assert locations.last_target_id("a", request(f"line{MAX_BRANCHES}")) == "t1"

    def test_requests_without_prompt_or_branch_are_not_recorded(self):
        """A tool call has the branch of its turn but goes to another target."""
        locations = PromptLocations()
        locations.record("a", request("line"), "t1")
        locations.record("a", request("line", prompt_tokens=0), "tool")
        locations.record("a", request(""), "t2")
        assert locations.last_target_id("a", request("line")) == "t1"
        assert locations.last_target_id("a", request("line", prompt_tokens=0)) is None
        assert locations.last_target_id("a", request("")) is None
