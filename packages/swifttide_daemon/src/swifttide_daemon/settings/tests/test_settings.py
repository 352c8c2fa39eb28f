"""Settings files."""

import dataclasses
import json
from pathlib import Path

import pytest

from swifttide_daemon.settings import Settings, TraceExporter

EXAMPLE = Path(__file__).parents[6] / "examples" / "swifttided.jsonc"
SMALLEST = {
    "host": "h1",
    "zone": "z1",
    "platform_url": "http://127.0.0.1:8700",
    "deployment_secret_file": "secret",
}


def write(tmp_path, document):
    path = tmp_path / "settings.jsonc"
    path.write_text(json.dumps(document))
    return path


def errors_of(tmp_path, **changes):
    result = Settings.from_file(write(tmp_path, SMALLEST | changes))
    return {e.path: e for e in result.error.errors}


class TestFromFile:
    def test_example_file(self):
        cfg = Settings.from_file(EXAMPLE).ok
        assert cfg.zone == "khomas-a"
        assert cfg.traces.exporter is TraceExporter.FILE
        assert cfg.traces.path == str(EXAMPLE.parent / "traces.jsonl")

    def test_example_names_every_member_with_its_default(self):
        """A default changes and the documented example keeps the old one, so an
        operator reads figures that no daemon uses.
        """
        cfg = Settings.from_file(EXAMPLE).ok
        plain = Settings.from_document(SMALLEST).ok
        for section in ("lease", "config", "limits", "timeouts", "log", "recording"):
            assert getattr(cfg, section) == getattr(plain, section)
        text = EXAMPLE.read_text()
        for field in dataclasses.fields(Settings):
            if field.name != "ready_file":
                assert f'"{field.name}"' in text

    def test_defaults(self, tmp_path):
        cfg = Settings.from_file(write(tmp_path, SMALLEST)).ok
        assert cfg.advertise_address == cfg.peer_address
        assert cfg.deployment_secret_file == str(tmp_path / "secret")
        assert cfg.ready_file == ""

    def test_every_error_at_once(self, tmp_path):
        """An operator mistypes several members of a file. Were they reported one
        at a time, each restart of the daemon would fail anew.
        """
        result = Settings.from_file(
            write(
                tmp_path,
                {
                    "host": "h/1",
                    "platform_url": "platform.example:80",
                    "deployment_secret_file": "secret",
                    "caller_port": "80",
                    "colour": 1,
                    "lease": {"renew_seconds": -1, "lease_second": 6},
                    "timeouts": {"peer_seconds": None},
                },
            )
        )
        found = {e.path for e in result.error.errors}
        assert found == {
            "zone",
            "caller_port",
            "colour",
            "lease.lease_second",
            "timeouts.peer_seconds",
        }

    def test_every_range_at_once(self, tmp_path):
        found = errors_of(
            tmp_path,
            host="a b",
            caller_port=70_000,
            platform_url="http://somewhere:1",
            log={"level": "loud"},
            limits={"max_body_bytes": 0},
            traces={"exporter": "file", "sample_ratio": 2},
        )
        assert set(found) == {
            "host",
            "caller_port",
            "platform_url",
            "log.level",
            "limits.max_body_bytes",
            "traces.path",
            "traces.sample_ratio",
        }
        assert str(found["caller_port"]) == (
            "caller_port: got 70000, expected a number from 0 to 65535"
        )

    def test_lease_that_one_lost_renewal_ends(self, tmp_path):
        """A lease is barely longer than the time between renewals. One renewal is
        lost, the host's slots move, and its programs stall for a takeover.
        """
        found = errors_of(tmp_path, lease={"lease_seconds": 3})
        assert "at least 5" in found["lease.lease_seconds"].expected

    def test_unreachable_advertised_address(self, tmp_path):
        found = errors_of(tmp_path, peer_address="0.0.0.0")
        assert set(found) == {"advertise_address"}

    def test_key_in_place_of_its_hash_is_not_repeated(self, tmp_path):
        """An operator pastes a key where its hash belongs. The message must not
        carry the key into the daemon's log.
        """
        key = "sk-the-key-itself"
        result = Settings.from_file(
            write(tmp_path, SMALLEST | {"operator_key_hashes": [key]})
        )
        assert key not in str(result.error)
        result = Settings.from_file(
            write(tmp_path, SMALLEST | {"operator_key_hashes": key})
        )
        assert key not in str(result.error)

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "[]",
            "{",
            '{"host": "a", "host": "b"}',
            '{"n_slots": NaN}',
            "\ud800",
        ],
    )
    def test_text_that_is_no_settings_file(self, tmp_path, text):
        path = tmp_path / "bad.jsonc"
        path.write_bytes(text.encode("utf-8", "surrogatepass"))
        assert str(path) in str(Settings.from_file(path).error)

    def test_missing_file(self, tmp_path):
        result = Settings.from_file(tmp_path / "none.jsonc")
        assert "readable settings file" in str(result.error)
