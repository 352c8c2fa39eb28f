"""The command as operators and scripts run it."""

import hashlib
import json
from pathlib import Path

import pytest

from swifttide_cli.exit_codes import ExitCode

EXAMPLES = Path(__file__).parents[5] / "examples"
COMMANDS = """
check | config | config history | contention | customer | customer list | customer show
customer set | decompose | explain | hosts | key | key grant | key list | key withdraw
profile | profile history | profile list | profile put | profile show | program
program end | program show | replay | target | target leave | target list | target put
targets | trace | version
"""
LEVELS = ["", *(c.strip() for c in COMMANDS.strip().replace("\n", "|").split("|"))]


class TestHelp:
    @pytest.mark.parametrize("words", LEVELS)
    def test_help_on_each_level(self, run, words):
        outcome = run(*words.split(), "--help")
        assert outcome.code == ExitCode.OK
        assert "Usage: swifttide" in outcome.out
        assert "Parameters" not in outcome.out

    def test_completion(self, run):
        assert "completion" in run("--completion", "generate").out

    def test_version(self, run):
        assert run("--version").out.strip() == run("version", "--json").data["version"]

    @pytest.mark.parametrize("words", [[], ["profile"], ["bogus"], ["profile", "show"]])
    def test_wrong_command_line(self, run, words):
        assert run(*words).code == ExitCode.USAGE


class TestCheck:
    def test_example_settings(self, run):
        outcome = run("check", EXAMPLES / "swifttided.jsonc")
        assert outcome.code == ExitCode.OK
        assert "deployment.secret doesn't exist" in outcome.err

    def test_every_error_is_shown(self, run, profile_file):
        file = profile_file(weight=0, urgnecy=1)
        outcome = run("check", "--kind", "profile", file)
        assert outcome.code == ExitCode.INVALID
        assert 'perhaps "urgency"' in outcome.err
        assert outcome.out == ""
        outcome = run("check", "--kind", "profile", file, "--json")
        assert [e["path"] for e in json.loads(outcome.err)["errors"]] == ["urgnecy"]


class TestConnection:
    def test_no_daemon_named(self, run, monkeypatch):
        monkeypatch.delenv("SWIFTTIDE_URL", raising=False)
        outcome = run("hosts")
        assert outcome.code == ExitCode.USAGE
        assert "SWIFTTIDE_URL" in outcome.err

    def test_next_daemon_is_tried(self, run, daemon):
        """The first daemon of the operator's list has just been replaced."""
        outcome = run("hosts", "--url", f"http://127.0.0.1:1,{daemon.url}")
        assert outcome.code == ExitCode.OK

    def test_no_daemon_answers(self, run, daemon):
        assert run("hosts", "--url", "http://127.0.0.1:1").code == ExitCode.UNAVAILABLE

    def test_unknown_key(self, run, daemon, monkeypatch):
        monkeypatch.setenv("SWIFTTIDE_OPERATOR_KEY", "st-other")
        outcome = run("hosts")
        assert outcome.code == ExitCode.DENIED
        assert "st-other" not in outcome.err

    def test_key_file(self, run, daemon, monkeypatch, tmp_path):
        monkeypatch.delenv("SWIFTTIDE_OPERATOR_KEY")
        file = tmp_path / "key"
        file.write_text("st-operator\n")
        file.chmod(0o600)
        assert run("hosts", "--key-file", file).code == ExitCode.OK

    def test_key_file_that_others_may_read(self, run, daemon, tmp_path):
        file = tmp_path / "key"
        file.write_text("st-operator\n")
        file.chmod(0o644)
        outcome = run("hosts", "--key-file", file)
        assert outcome.code == ExitCode.USAGE
        assert "chmod 600" in outcome.err

    def test_platform_is_down(self, run, daemon, profile_file):
        daemon.refuse_edits = True
        outcome = run("profile", "put", profile_file())
        assert outcome.code == ExitCode.UNAVAILABLE
        assert "nothing was changed" in outcome.err


class TestProfile:
    def test_put_show_list_history(self, run, daemon, profile_file):
        assert run("profile", "put", profile_file(), "--json").data["version"] == 1
        outcome = run("profile", "put", profile_file(urgency=2), "--base", 1)
        assert "version 2" in outcome.out
        assert run("profile", "show", "catalogue", "--json").data["version"] == 2
        assert '"urgency": 2' in run("profile", "show", "catalogue").out
        assert "catalogue" in run("profile", "list").out
        changes = run("profile", "history", "catalogue", "--json").data
        assert [c["version"] for c in changes] == [1, 2]
        assert run("config", "history").out.count("put") == 2

    def test_new_profile_never_writes_over_an_old_one(self, run, daemon, profile_file):
        """An operator takes a name for new that another has used already."""
        daemon.put("profile", "catalogue", {"name": "catalogue", "urgency": 7})
        assert run("profile", "put", profile_file()).code == ExitCode.CONFLICT
        assert daemon.version == 1

    def test_edit_whose_answer_is_lost(self, run, daemon, profile_file):
        """The connection breaks after the daemon wrote the edit. Sent again, it
        would be told of a conflict with itself.
        """
        daemon.lose_answers = True
        outcome = run("profile", "put", profile_file(), "--json")
        assert outcome.code == ExitCode.OK
        assert outcome.data["version"] == daemon.version == 1

    def test_invalid_profile_is_not_sent(self, run, daemon, profile_file):
        assert run("profile", "put", profile_file(weight=-1)).code == ExitCode.INVALID
        assert daemon.bodies == []

    def test_unknown_profile(self, run, daemon):
        assert run("profile", "show", "none").code == ExitCode.NOT_FOUND


class TestWait:
    def test_until_every_live_host_has_it(self, run, daemon, profile_file):
        daemon.lagging = 2
        outcome = run("profile", "put", profile_file(), "--wait")
        assert outcome.code == ExitCode.OK
        assert "In force at 2 live hosts" in outcome.out
        assert daemon.lagging == 0

    def test_host_that_stays_behind(self, run, daemon, profile_file):
        """A host is cut off. The operator must learn that it serves the old
        profile, and that the edit is accepted all the same.
        """
        daemon.lagging = 1000
        wait = ("--wait", "--wait-seconds", 0)
        outcome = run("profile", "put", profile_file(), *wait)
        assert outcome.code == ExitCode.NOT_IN_FORCE
        assert "h2 in z has version 0" in outcome.err
        assert daemon.version == 1


class TestKey:
    def test_only_the_hash_is_sent(self, run, daemon):
        outcome = run("key", "grant", "--customer", "club")
        key = outcome.out.strip()
        assert key.startswith("st-")
        assert all(key.encode() not in body for body in daemon.bodies)
        assert key not in outcome.err
        digest = hashlib.sha256(key.encode()).hexdigest()
        assert ("key", digest) in daemon.documents

    def test_wait_that_runs_out_keeps_the_key(self, run, daemon):
        """The key exists only in this process. Were it not printed because a host
        lags, a granted key would be lost.
        """
        daemon.lagging = 1000
        wait = ("--wait", "--wait-seconds", 0)
        outcome = run("key", "grant", "--operator", "--json", *wait)
        assert outcome.data["key"].startswith("st-")
        assert outcome.data["in_force"] is False

    def test_withdraw_and_list(self, run, daemon):
        data = run("key", "grant", "--customer", "club", "--json").data
        outcome = run("key", "withdraw", data["key_hash"][:10])
        assert outcome.code == ExitCode.OK
        assert "withdrawn" in run("key", "list").out
        (stored,) = run("key", "list", "--json").data
        assert stored["document"]["withdrawn"] is True

    @pytest.mark.parametrize("digits, code", [("ab", 2), ("ab" * 20, 6)])
    def test_withdraw_needs_one_key(self, run, daemon, digits, code):
        assert run("key", "withdraw", digits).code == code

    @pytest.mark.parametrize(
        "words", [[], ["--operator", "--customer", "c"], ["--customer", "a/b"]]
    )
    def test_grant_needs_one_holder(self, run, daemon, words):
        assert run("key", "grant", *words).code in (ExitCode.USAGE, ExitCode.INVALID)
        assert daemon.bodies == []


class TestCustomer:
    def test_set_keeps_what_is_not_given(self, run, daemon):
        run("customer", "set", "club", "--rate-per-second", 5, "--burst", 9)
        run("customer", "set", "club", "--burst", 12)
        document = run("customer", "show", "club", "--json").data["document"]
        assert document == {"name": "club", "rate_per_second": 5.0, "burst": 12.0}
        assert "club" in run("customer", "list").out

    def test_wrong_rate(self, run, daemon):
        assert run("customer", "set", "club", "--burst", 0).code == ExitCode.INVALID


class TestTarget:
    def test_put_list_leave(self, run, daemon):
        file = EXAMPLES / "documents" / "target-runner-1.jsonc"
        assert run("target", "put", file).code == ExitCode.OK
        assert run("target", "leave", "runner-1").code == ExitCode.OK
        (stored,) = run("target", "list", "--json").data
        assert stored["document"]["leaving"] is True
        assert run("target", "leave", "none").code == ExitCode.NOT_FOUND

    def test_targets(self, run, daemon):
        assert run("targets").out.split()[:3] == ["NAME", "STATE", "QUEUE"]


class TestProgram:
    def test_show_and_end(self, run, daemon):
        daemon.programs["club", "p/1"] = {"state": "live", "turns": 3}
        assert run("program", "show", "club", "p/1", "--json").data["turns"] == 3
        assert "live" in run("program", "show", "club", "p/1").out
        assert run("program", "end", "club", "p/1").code == ExitCode.OK
        assert daemon.programs["club", "p/1"]["state"] == "ended"
        assert run("program", "end", "club", "p/2").code == ExitCode.NOT_FOUND


class TestTrace:
    def test_path_from_the_request_id(self, run, tmp_path):
        spans = [
            {"span_id": "b", "parent_id": "a", "name": "target", "request_id": "r1"},
            {"span_id": "a", "parent_id": "", "name": "entry", "request_id": "r1"},
            {"span_id": "c", "parent_id": "b", "name": "platform"},
            {"span_id": "d", "parent_id": "", "name": "entry", "request_id": "r2"},
        ]
        for i, span in enumerate(spans):
            line = json.dumps({"start_seconds": i, "duration_seconds": 1, **span})
            (tmp_path / f"h{i}.jsonl").write_text(line + '\n{"cut": ')
        files = sorted(tmp_path.iterdir())
        outcome = run("trace", "r1", *files)
        rows = [line.split()[0] for line in outcome.out.splitlines()[1:]]
        assert rows == ["entry", "target", "platform"]
        assert run("trace", "r9", *files).code == ExitCode.NOT_FOUND
        assert run("trace", "r1", tmp_path / "none").code == ExitCode.INVALID


class TestPrinting:
    def test_names_can_not_drive_the_terminal(self, run, daemon):
        """A customer sends a program id with escape sequences and markup in it."""
        daemon.programs["c", "p"] = {"note": "\x1b[2J[red]x[/red]"}
        out = run("program", "show", "c", "p").out
        assert "\x1b" not in out
        assert "[red]x[/red]" in out
