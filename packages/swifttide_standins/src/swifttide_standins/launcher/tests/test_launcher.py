"""The launcher with real processes."""

import pytest

from swifttide_standins.launcher import Launcher


class TestLauncher:
    def test_processes_end_with_it(self):
        """A test fails half-way with a frozen process. Left behind, processes would
        pile up until the machine has no memory left.
        """
        with pytest.raises(KeyError), Launcher() as launcher:
            platform = launcher.standin("platform", "p", threads=2)
            port = platform.wait_ready()["port"]
            platform.freeze()
            raise KeyError
        assert port > 0
        assert not platform.alive
        assert not launcher.directory.exists()

    def test_failed_start_shows_the_log(self):
        with Launcher() as launcher:
            process = launcher.standin("platform", "p", unknown_switch="x")
            with pytest.raises(RuntimeError, match="unknown-switch"):
                process.wait_ready()

    def test_measures(self):
        with Launcher() as launcher:
            platform = launcher.standin("platform", "p", threads=2)
            platform.wait_ready()
            assert platform.resident_bytes() > 2**20
            assert platform.cpu_seconds() > 0
