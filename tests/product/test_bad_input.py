"""Bad input at every interface of a running host.

A client is broken or hostile. Each request is answered with a refusal that says that
nothing was run; no handler fails, and the host serves on.
"""

import json

import pytest

CALLERS = (
    ("POST", "/v1/chat/completions"),
    ("POST", "/v1/services/fees/charge"),
    ("GET", "/v1/programs/{junk}"),
    ("DELETE", "/v1/programs/{junk}"),
)
OPERATORS = (
    ("GET", "/v1/operator/documents/{junk}"),
    ("GET", "/v1/operator/documents/profile/{junk}"),
    ("PUT", "/v1/operator/documents/profile/{junk}"),
    ("PUT", "/v1/operator/documents/customer/{junk}"),
    ("PUT", "/v1/operator/documents/key/{junk}"),
    ("PUT", "/v1/operator/documents/target/{junk}"),
    ("GET", "/v1/operator/programs/{junk}/{junk}"),
    ("DELETE", "/v1/operator/programs/{junk}/{junk}"),
)
PEERS = (
    ("POST", "/peer/v1/heartbeat"),
    ("GET", "/peer/v1/config?after={junk}"),
    ("POST", "/peer/v1/calls"),
    ("POST", "/peer/v1/customers/{junk}/draw"),
    ("POST", "/peer/v1/targets/{junk}/acquire"),
    ("POST", "/peer/v1/fingerprints/{junk}/strike"),
)
SEGMENTS = (
    "x",
    "%00",
    "%0d%0aX:%20y",
    "..",
    "%2e%2e",
    "a%2Fb",
    "%ff",
    "\u00e9",
    "x" * 900,
)
DEEP = b"[" * 100_000
BODIES = (
    b"",
    b"{",
    b"null",
    b"[]",
    b"3",
    b'"x"',
    b"\xff\xfe",
    b"{}",
    b'{"messages": {}}',
    b'{"messages": [{"role": "user"}]}',
    b'{"messages": [{"role": "user", "content": 3}]}',
    b'{"messages": [{"role": "user", "content": "x"}], "max_tokens": -1}',
    b'{"messages": [{"role": "user", "content": "x"}], "max_tokens": 1e400}',
    b'{"document": 3, "base_version": 0}',
    b'{"document": {"name": "x", "weight": 1e400}, "base_version": "0"}',
    b'{"document": {"name": "x"}, "base_version": 99999999999999999999999}',
    b'{"document": {}, "base_version": 0}',
    DEEP,
)
HEADERS = (
    {},
    {"Swifttide-Turn": "0"},
    {"Swifttide-Turn": "-1"},
    {"Swifttide-Turn": "9" * 30},
    {"Swifttide-Turn": "\u0661"},
    {"Swifttide-Program": "a b"},
    {"Swifttide-Program": "x" * 2000},
    {"Swifttide-Parent": "none", "Swifttide-Program": "p"},
    {"Idempotency-Key": "\u00e9"},
    {"Swifttide-Profile": ""},
    {"traceparent": "00-" + "0" * 60},
)


def send(site, method, path, key, body=None, headers=None, url=None):
    url = url or next(iter(site.fleet.hosts.values())).url
    headers = {"Swifttide-Profile": "assistant", **(headers or {})}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    headers = {n: v.encode() for n, v in headers.items()}
    return site.pool.request(
        method, url + path, body=body, headers=headers, timeout=30, redirect=False
    )


def is_refusal(answer):
    if not 400 <= answer.status < 500:
        return False
    problem = json.loads(answer.data)
    return answer.headers["Swifttide-Verdict"] == problem["verdict"] == "not_run"


@pytest.fixture(scope="module")
def key(site):
    return site.customer("junk")


class TestCallers:
    @pytest.mark.parametrize("body", BODIES, ids=lambda b: repr(b[:60]))
    def test_bodies_of_chat_turns(self, site, key, body):
        answer = send(site, "POST", "/v1/chat/completions", key, body)
        assert is_refusal(answer), (answer.status, answer.data[:300])

    @pytest.mark.parametrize("headers", HEADERS[1:-1], ids=str)
    @pytest.mark.parametrize("method, path", CALLERS[:2])
    def test_headers(self, site, key, method, path, headers):
        body = b'{"messages": [{"role": "user", "content": "x"}], "max_tokens": 2}'
        answer = send(site, method, path, key, body, headers)
        assert is_refusal(answer), (answer.status, answer.data[:300])

    @pytest.mark.parametrize("segment", SEGMENTS)
    @pytest.mark.parametrize("method, path", CALLERS[2:])
    def test_paths(self, site, key, method, path, segment):
        answer = send(site, method, path.format(junk=segment), key)
        assert is_refusal(answer), (answer.status, answer.data[:300])

    @pytest.mark.parametrize("method, path", [*CALLERS, *OPERATORS])
    @pytest.mark.parametrize("bad_key", ["", "none", "\u00e9", "x" * 4000])
    def test_keys(self, site, method, path, bad_key):
        answer = send(site, method, path.format(junk="x"), bad_key, b"{}")
        assert answer.status == 401
        assert is_refusal(answer)


class TestOperators:
    @pytest.mark.parametrize("method, path", OPERATORS)
    def test_customers_key_opens_nothing(self, site, key, method, path):
        answer = send(site, method, path.format(junk="x"), key, b"{}")
        assert answer.status == 403

    @pytest.mark.parametrize("segment", SEGMENTS)
    @pytest.mark.parametrize("method, path", OPERATORS)
    def test_paths(self, site, method, path, segment):
        operator = site.fleet.operator._key
        path = path.format(junk=segment)
        answer = send(site, method, path, operator, BODIES[-2])
        assert is_refusal(answer), (answer.status, answer.data[:300])

    @pytest.mark.parametrize("body", BODIES, ids=lambda b: repr(b[:60]))
    @pytest.mark.parametrize("kind", ["profile", "customer", "key", "target"])
    def test_documents(self, site, kind, body):
        operator = site.fleet.operator._key
        path = f"/v1/operator/documents/{kind}/x"
        answer = send(site, "PUT", path, operator, body)
        assert is_refusal(answer), (answer.status, answer.data[:300])


class TestPeers:
    @pytest.mark.parametrize("method, path", PEERS)
    def test_no_key_opens_the_peers_port(self, site, key, method, path):
        ready = json.loads(next(site.directory.glob("z*-h0.ready")).read_text())
        for bad_key in (key, site.fleet.operator._key, ""):
            path = path.format(junk="x")
            answer = send(site, method, path, bad_key, b"{}", url=ready["peer_url"])
            assert answer.status == 401


class TestAfterwards:
    def test_host_serves_on_and_nothing_failed(self, site, key):
        assert site.chat(key).status == 200
        logs = "".join(p.read_text() for p in site.directory.glob("*-h*.log"))
        assert "thread_died" not in logs
        assert "handler failed" not in logs
        assert "Traceback" not in logs
