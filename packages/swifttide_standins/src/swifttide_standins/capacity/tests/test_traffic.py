"""Reading of the kernel's counts."""

from swifttide_standins.capacity._traffic import parse_bytes

LISTING = """\
ESTAB 0 0 127.0.0.1:1 127.0.0.1:2 users:(("python",pid=7,fd=7))
\t cubic bytes_sent:204 bytes_acked:204 bytes_received:148 segs_out:8
ESTAB 0 0 127.0.0.1:2 127.0.0.1:1 users:(("python",pid=8,fd=7))
\t cubic bytes_sent:5 bytes_acked:5
"""


class TestParseBytes:
    def test_only_the_given_processes(self):
        assert parse_bytes(LISTING, {7}) == 352
        assert parse_bytes(LISTING, {8}) == 5
        assert parse_bytes(LISTING, {9}) == 0
