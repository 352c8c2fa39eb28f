"""Steps of racing_edits.feature."""

import json

from pytest_bdd import given, parsers, scenarios, then, when

from swifttide_cli.exit_codes import ExitCode

scenarios("racing_edits.feature")


@given(
    "a profile with urgency 0 that two operators have read", target_fixture="outcomes"
)
def profile(run, daemon, profile_file):
    run("profile", "put", profile_file())
    return [run("profile", "show", "catalogue", "--json").data["version"]]


@when(parsers.re(r"the (first|second) puts it with urgency (?P<urgency>\d)"))
def put(run, profile_file, outcomes, urgency):
    file = profile_file(urgency=int(urgency))
    outcomes.append(run("profile", "put", file, "--base", outcomes[0], "--json"))


@when("the second sends it again with the version that was shown")
def again(run, profile_file, outcomes):
    shown = json.loads(outcomes[-1].err)["current_version"]
    run("profile", "put", profile_file(urgency=2), "--base", shown)


@then("the second is refused as a conflict")
def refused(outcomes):
    assert outcomes[-1].code == ExitCode.CONFLICT


@then("both versions are shown with the version to base on")
def both_shown(run, profile_file, outcomes):
    found = json.loads(outcomes[-1].err)
    assert found["current_document"]["urgency"] == 1
    assert found["your_document"]["urgency"] == 2
    text = run("profile", "put", profile_file(urgency=2), "--base", outcomes[0]).err
    assert '-  "urgency": 1' in text
    assert '+  "urgency": 2' in text
    assert f"--base {found['current_version']}" in text


@then(parsers.parse("the profile in force has urgency {urgency:d}"))
def in_force(daemon, urgency):
    assert daemon.documents["profile", "catalogue"][1]["urgency"] == urgency
