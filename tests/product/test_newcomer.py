"""From a running fleet to a served request and an edited profile.

The commands are those of docs/operators/first-steps.md, run as processes.
"""

import json

EXAMPLES = "examples/documents"


class TestNewcomer:
    def test_first_request_and_first_edit(self, site, tmp_path):
        site.command("customer", "set", "kennel-club-north", "--rate-per-second", 50)
        site.command("profile", "put", f"{EXAMPLES}/profile-catalogue.jsonc", "--wait")
        granted = site.command(
            "key", "grant", "--customer", "kennel-club-north", "--wait", "--json"
        )
        key = json.loads(granted)["key"]

        first = {"Swifttide-Program": "p1", "Swifttide-Turn": "1"}
        answer = site.chat(key, **{"Swifttide-Profile": "catalogue", **first})
        assert answer.status == 200, answer.data
        assert answer.headers["Swifttide-Verdict"] == "ran"

        shown = json.loads(site.command("profile", "show", "catalogue", "--json"))
        edited = tmp_path / "catalogue.jsonc"
        edited.write_text(json.dumps({**shown["document"], "urgency": 3}))
        site.command("profile", "put", edited, "--base", shown["version"], "--wait")
        site.command("profile", "put", edited, "--base", shown["version"], code=4)
        assert '"urgency": 3' in site.command("profile", "show", "catalogue")

        hosts = json.loads(site.command("hosts", "--json"))
        assert {h["zone"] for h in hosts} == {"za", "zb"}
        program = json.loads(
            site.command("program", "show", "kennel-club-north", "p1", "--json")
        )
        assert program["turns"] == 1
        site.command("program", "end", "kennel-club-north", "p1")
        assert "catalogue-8b" in site.command("target", "list")
        assert site.command("targets")

        site.command("key", "withdraw", json.loads(granted)["key_hash"], "--wait")
        refused = site.chat(key)
        assert refused.status == 401
        assert refused.headers["Swifttide-Verdict"] == "not_run"


class TestProgramLatency:
    def test_ended_program_is_counted(self, site):
        """The users weigh the latency of whole programs most; one that nobody
        reports looks as if no program ever ran.
        """
        key = site.customer("latency")
        for turn in ("1", "2"):
            headers = {"Swifttide-Program": "p-latency", "Swifttide-Turn": turn}
            assert site.chat(key, **headers).status == 200
        pages = b""
        for host in site.fleet.hosts.values():
            site.command("program", "end", "latency", "p-latency", "--url", host.url)
            pages += site.pool.request("GET", f"{host.url}/metrics").data
        assert pages.count(b"swifttide_program_latency_seconds_count{") >= 1
        assert b'profile="assistant"' in pages


class TestPathOfOneRequest:
    def test_every_hop_from_the_request_id(self, site):
        """A caller complains of one answer and has only its request id."""
        key = site.customer("traced")
        turn = {"Swifttide-Program": "p-traced", "Swifttide-Turn": "1"}
        answer = site.chat(key, host=1, **turn)
        assert answer.status == 200, answer.data
        request_id = answer.headers["Swifttide-Request-Id"]
        table = site.command("trace", request_id, *site.trace_files())
        hops = [line.split()[0] for line in table.splitlines()[1:]]
        assert hops[0] == "entry"
        assert {"entry", "slot_holder", "target", "platform"} == set(hops)
