"""The machine's settings file."""

import pytest

from swifttide_daemon.platform import SettingsError, read_settings

GOOD = """
node_name = "edge-a-1"
zone = "a"
internal_ports = [7780, 7795]
later_field = {x = 1}
[listen]
frontend = "10.1.0.11:8368"
ready = "10.1.0.11:8369"
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8362"
row_bytes = 65536
"""


class TestSettingsFile:
    def read(self, tmp_path, text):
        path = tmp_path / "local.toml"
        path.write_text(text)
        return read_settings(path)

    def test_fields_and_unknown_ones(self, tmp_path):
        cfg = self.read(tmp_path, GOOD)
        assert (cfg.host, cfg.ip, cfg.caller_port) == ("edge-a-1", "10.1.0.11", 8368)
        assert (cfg.store_ip, cfg.store_port) == ("10.200.1.7", 8362)
        assert cfg.stop_seconds == 8.0
        assert cfg.memory_bytes == 0

    def test_memory_limit_of_the_host(self, tmp_path):
        cfg = self.read(tmp_path, GOOD + "[limits]\nmemory_mb = 128\n")
        assert cfg.memory_bytes == 128_000_000

    @pytest.mark.parametrize(
        ("old", "new", "place"),
        [
            ('zone = "a"', "zone = 7", "zone"),
            ("[7780, 7795]", "[7795, 7780]", "internal_ports"),
            ('"10.1.0.11:8368"', '"nowhere"', "listen.frontend"),
            ('"10.200.1.7:8362"', "true", "platform.address"),
            ("row_bytes = 65536", 'row_bytes = "x"', "platform.row_bytes"),
            ("[bounds]", '[limits]\nmemory_mb = "x"\n[bounds]', "limits.memory_mb"),
        ],
    )
    def test_wrong_value_is_named(self, tmp_path, old, new, place):
        with pytest.raises(SettingsError, match=place) as caught:
            self.read(tmp_path, GOOD.replace(old, new))
        assert "got" in str(caught.value)
        assert "expected" in str(caught.value)

    def test_no_toml_and_no_file(self, tmp_path):
        with pytest.raises(SettingsError, match="TOML"):
            self.read(tmp_path, "= nothing")
        with pytest.raises(SettingsError, match="can't be read"):
            read_settings(tmp_path / "missing")
