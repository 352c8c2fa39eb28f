"""Tests of the authentication of requests between hosts."""

from dataclasses import replace

import pytest
from freezegun import freeze_time

from swifttide_daemon.peers import PeerProof
from swifttide_daemon.web import Request

PATH = "/peer/v1/heartbeat"


def signed(secret=b"secret", body=b"{}", path=PATH):
    headers = PeerProof(secret, "h1").headers("POST", path, body)
    path, _, query = path.partition("?")
    names = {name.lower(): value for name, value in headers.items()}
    return Request("POST", path, query, names, body)


def check(req):
    return PeerProof(b"secret", "h2").check(req)


class TestPeerProof:
    def test_signed_call_is_accepted(self):
        assert check(signed()) is None
        assert check(signed(path=PATH + "?after=3")) is None

    @pytest.mark.parametrize(
        "changes",
        [
            {"body": b"[]"},
            {"path": "/peer/v1/calls"},
            {"query": "after=0"},
            {"method": "GET"},
            {"headers": {}},
        ],
    )
    def test_altered_call_is_refused(self, changes):
        """An attacker who reaches the peer port alters a recorded request in order to
        draw a customer's rate tokens or to read a program.
        """
        assert check(replace(signed(), **changes)).status == 401

    @pytest.mark.parametrize("name", ["x-peer-host", "x-peer-time", "x-peer-proof"])
    @pytest.mark.parametrize("value", ["", "other", "\xff\udcff", "nan", "1e999"])
    def test_altered_headers_are_refused(self, name, value):
        req = signed()
        headers = {**req.headers, name: value}
        assert check(replace(req, headers=headers)).status == 401

    def test_call_signed_with_another_secret_is_refused(self):
        assert check(signed(secret=b"other")).status == 401

    def test_replayed_call_is_refused_after_the_maximum_clock_skew(self):
        with freeze_time("2026-01-01") as clock:
            req = signed()
            assert check(req) is None
            clock.tick(61)
            assert check(req).status == 401
