"""The engine over HTTP."""

import json

import pytest
import urllib3

from swifttide_standins.engine import EngineSettings, engine_app, expected_text
from swifttide_standins.web import running

MESSAGES = [{"role": "user", "content": "list the entries"}]


@pytest.fixture
def call():
    settings = EngineSettings(
        words_per_second=2000, checks_fencing=True, load_lag_seconds=0
    )
    with running(engine_app(settings)) as engine, urllib3.PoolManager() as pool:
        yield lambda method, path, **kw: pool.request(
            method, engine.url + path, timeout=5, retries=False, **kw
        )


def chat(call, messages=MESSAGES, request_id="r1", fencing="1", **kw):
    body = {"model": "default", "messages": messages, "max_tokens": 6}
    body = {**body, "program": "p1", **kw}
    headers = {"X-Request-Id": request_id, "X-Fencing": fencing}
    return call("POST", "/v1/chat/completions", json=body, headers=headers)


def events(answer):
    parts = answer.data.decode().split("\n\n")
    return [json.loads(p[6:]) for p in parts if p.startswith("data: {")]


def text(answer):
    found = [e for e in events(answer) if "choices" in e]
    return "".join(e["choices"][0]["delta"]["content"] for e in found)


class TestChat:
    def test_stream_equals_the_oracle(self, call):
        answer = chat(call, stream=True)
        assert text(answer) == expected_text(MESSAGES, 6)
        assert events(answer)[-1]["usage"]["completion_tokens"] == 6
        assert answer.data.endswith(b"data: [DONE]\n\n")
        assert {e["request_id"] for e in events(answer)} == {"r1"}

    def test_next_turn_finds_its_prefix(self, call):
        first = chat(call, stream=False).json()
        said = first["choices"][0]["message"]
        assert first["usage"]["cached_tokens"] == 0
        turns = [*MESSAGES, said, {"role": "user", "content": "and now"}]
        assert chat(call, turns).json()["usage"]["cached_tokens"] > 0
        assert call("GET", "/v1/cache").json()["programs"]["p1"] > 0
        assert call("GET", "/v1/load").json()["cache_bytes"] > 0

    def test_resume_after_a_cut(self, call):
        """A stream breaks in the middle. The words that follow are still there,
        and the engine hasn't run the request a second time.
        """
        call("POST", "/faults", json={"mode": "cut_half", "count": 1})
        with pytest.raises(urllib3.exceptions.ProtocolError):
            chat(call, stream=True)
        rest = call("GET", "/v1/streams/r1?from=3")
        assert expected_text(MESSAGES, 6).endswith(text(rest))
        assert len(events(rest)) == 4
        assert call("GET", "/counters").json()["requests"] == {"r1": 1}

    def test_crossed_answer_is_told_by_its_id(self, call):
        call("POST", "/faults", json={"mode": "crossed", "count": 1})
        answer = chat(call, stream=True)
        assert {e["request_id"] for e in events(answer)} == {"other-r1"}
        assert text(answer) != expected_text(MESSAGES, 6)
        assert text(chat(call, stream=True)) == expected_text(MESSAGES, 6)

    @pytest.mark.parametrize(
        "body",
        [
            {"messages": []},
            {"messages": [{"role": "user"}]},
            {"messages": "x"},
            {"max_tokens": 0},
            {"max_tokens": "6"},
            {"program": None},
        ],
    )
    def test_bad_input(self, call, body):
        assert chat(call, **{"messages": MESSAGES, **body}).status == 400

    def test_model_loaded_late(self, call):
        assert chat(call, model="late").status == 404
        call("POST", "/v1/models", json={"model": "late"}, headers={"X-Fencing": "1"})
        assert chat(call, model="late").status == 200


class TestFencing:
    def test_old_number_is_refused(self, call):
        """A paused holder wakes up after another took its slot. Its order comes
        with the old number and must change nothing.
        """
        chat(call, fencing="5")
        path = "/v1/cache/p1"
        assert call("DELETE", path, headers={"X-Fencing": "4"}).status == 409
        assert call("GET", "/v1/cache").json()["programs"]
        assert call("DELETE", path, headers={"X-Fencing": "5"}).status == 204
        assert call("GET", "/v1/cache").json()["programs"] == {}
        assert chat(call, fencing="4").status == 409


class TestSilence:
    def test_old_connection_is_silent_and_a_new_one_works(self):
        """Something between the two ends forgets a connection. A request over it
        never gets an answer, whereas one over a new connection does.
        """
        with running(engine_app(EngineSettings(words_per_second=2000))) as engine:
            old = urllib3.HTTPConnectionPool("127.0.0.1", engine.port, maxsize=1)
            new = urllib3.HTTPConnectionPool("127.0.0.1", engine.port, maxsize=1)
            assert chat(_caller(old)).status == 200
            _caller(new)("POST", "/faults", json={"mode": "silent"})
            with pytest.raises(urllib3.exceptions.ReadTimeoutError):
                chat(_caller(old, timeout=0.2))
            assert chat(_caller(new)).status == 200
            _caller(new)("POST", "/faults", json={"mode": "none"})


def _caller(pool, timeout=5):
    return lambda method, path, **kw: pool.request(
        method, path, timeout=timeout, retries=False, **kw
    )
