"""Tests of the daemon as a separate process, as a service manager starts it."""

import json
import socket
import subprocess
import sys

import pytest


def run(*argv):
    return subprocess.run(
        [sys.executable, "-m", "swifttide_daemon", *argv],
        capture_output=True,
        text=True,
        timeout=60,
    )


def write_settings(tmp_path, secret, **more):
    if secret is not None:
        (tmp_path / "secret").write_text(secret)
    settings = {
        "host": "h",
        "zone": "z",
        "platform_url": "http://127.0.0.1:1",
        "deployment_secret_file": "secret",
        **more,
    }
    path = tmp_path / "s.jsonc"
    path.write_text(json.dumps(settings))
    return str(path)


class TestSwifttided:
    def test_help_and_version(self):
        assert "--settings FILE" in run("--help").stdout
        assert run("--version").stdout.strip() == "0.1.0"

    @pytest.mark.parametrize("argv", [(), ("--settings",), ("--bogus", "x")])
    def test_invalid_command_line_exits_with_2(self, argv):
        assert run(*argv).returncode == 2

    def test_all_settings_errors_are_reported(self, tmp_path):
        path = tmp_path / "s.jsonc"
        path.write_text('{"host": 3, "levle": 1}')
        done = run("--settings", str(path))
        assert done.returncode == 2
        for member in ("host", "levle", "zone", "platform_url"):
            assert f"{path}: {member}: got" in done.stderr

    @pytest.mark.parametrize("secret", [None, "", "short\n"])
    def test_missing_or_short_secret_is_refused(self, tmp_path, secret):
        """A failed copy of the secret left an empty file. Hosts with an empty secret
        would accept peer calls that anybody can sign.
        """
        done = run("--settings", write_settings(tmp_path, secret))
        assert done.returncode == 2
        assert "deployment_secret_file: got" in done.stderr
        assert "Traceback" not in done.stderr

    def test_port_in_use_is_reported_without_traceback(self, tmp_path):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            path = write_settings(tmp_path, "x" * 32, caller_port=port)
            done = run("--settings", path)
        assert done.returncode == 1
        assert "can't start" in done.stderr
        assert "Traceback" not in done.stderr

    def test_serving_process_does_not_import_command_line_library(self):
        """Modules imported at the start stay in memory for weeks. cappa and rich would
        take a tenth of the daemon's memory only to parse the arguments.
        """
        code = (
            "import sys, swifttide_daemon.__main__, swifttide_daemon._daemon;"
            "print({'cappa', 'rich'} & set(sys.modules))"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
        )
        assert done.stdout.strip() == "set()"
