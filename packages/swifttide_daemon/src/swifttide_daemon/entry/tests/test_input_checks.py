"""Tests of the request checks that are independent of the profile."""

import pytest

from swifttide_daemon.entry._input_checks import (
    check_key_not_repeated,
    check_service_path,
)
from swifttide_daemon.web import Request

KEY = "st-0123456789abcdef"


def request(path="/v1/x", query="", body=b"", **headers):
    headers = {"authorization": f"Bearer {KEY}", **headers}
    return Request("POST", path, query, headers, body)


class TestServicePath:
    @pytest.mark.parametrize("path", ["charge", "fees/charge", "a.b/c-d_e~1/x:y@z"])
    def test_plain_paths(self, path):
        assert check_service_path(request(), "billing", path) is None

    @pytest.mark.parametrize(
        "path",
        [
            "x/../charge",
            "../charge",
            "./charge",
            "/charge",
            "x//charge",
            "charge/",
            ".hidden/charge",
            "x%2F..%2Fcharge",
            "x\\..\\charge",
            "charge?x=1",
            "charge#x",
            "charge\r\nX-Fencing: 9",
            "charge\n",
            "ch arge",
            "ch\xe4rge",
            "ch%61rge",
            "",
        ],
    )
    def test_ambiguous_paths_are_refused(self, path):
        """Guards against a customer that is charged twice.

        The path is written so that no at-most-once prefix of the profile matches it,
        but the service still resolves it to the charge.
        """
        assert check_service_path(request(), "billing", path).status == 400

    def test_service_name(self):
        assert check_service_path(request(), "..", "charge").status == 400

    def test_query(self):
        assert check_service_path(request(query="x=1"), "s", "p").status == 400


class TestKeyNotRepeated:
    def test_plain_request(self):
        assert check_key_not_repeated(request(body=b'{"messages": []}')) is None

    @pytest.mark.parametrize(
        "req",
        [
            request(body=f'{{"content": "my key is {KEY}"}}'.encode()),
            request(path=f"/v1/services/a/{KEY}"),
            request(query=f"api_key={KEY}"),
            request(**{"idempotency-key": KEY}),
            request(**{"x-api-key": KEY}),
        ],
    )
    def test_key_outside_authorization_is_refused(self, req):
        """Guards against the disclosure of keys to targets, the history and logs.

        A client inserts its key into a prompt or an id by a template.
        """
        refusal = check_key_not_repeated(req)
        assert refusal.status == 400
        assert KEY not in refusal.detail

    def test_short_keys_are_not_searched_for(self):
        req = Request("POST", "/", "", {"authorization": "Bearer a"}, b"banana")
        assert check_key_not_repeated(req) is None
