"""The engine's calls."""

import os
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote

import msgspec
import urllib3
from msgspec import Meta

from swifttide_standins.engine._batch import Batch
from swifttide_standins.engine._chat import ChatRequest, Message
from swifttide_standins.engine._events import Events
from swifttide_standins.engine._fencing_guard import FencingGuard
from swifttide_standins.engine._prefix_cache import PrefixCache
from swifttide_standins.engine._runs import Runs
from swifttide_standins.engine._settings import EngineSettings
from swifttide_standins.engine._stream import Stream
from swifttide_standins.engine._text import count_tokens, expected_words, render
from swifttide_standins.faults import Fault, FaultMode, FaultSwitch
from swifttide_standins.web import (
    App,
    BadInput,
    Request,
    Response,
    Route,
    check_int,
    decode_json,
)

CRASH_STATUS = 70
_OTHER_MESSAGES = (Message("user", "somebody else's request"),)
"""What a crossed answer is the answer to."""


@dataclass(frozen=True, slots=True)
class ModelOrder:
    """Body of an order to load a model."""

    model: Annotated[str, Meta(min_length=1)]


@dataclass(frozen=True, slots=True)
class CacheOrder:
    """Body of an order to export or import a program's cache.

    Parameters
    ----------
    object : str
        Name of the platform's object.
    """

    object: Annotated[str, Meta(min_length=1)]


def engine_app(settings: EngineSettings) -> App:
    """Return the application of a fresh engine."""
    return App(EngineCalls(settings).routes())


class EngineCalls:
    """Handlers of one engine.

    Parameters
    ----------
    settings : EngineSettings
        How it behaves.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._incarnation = uuid.uuid4().hex
        self._models = dict.fromkeys(settings.models)
        self._cache = PrefixCache(settings.cache_capacity_bytes)
        self._fencing = FencingGuard(settings.checks_fencing)
        self._batch = Batch(settings.max_running)
        self._runs = Runs()
        crash = Fault(FaultMode.CRASH_ON, text=settings.crash_on)
        self._faults = FaultSwitch(crash if settings.crash_on else None)
        self._load = (float("-inf"), {})
        self._pool = urllib3.PoolManager(retries=False)

    def routes(self) -> list[Route]:
        """Return the routes of the protocol and of the test switches."""
        return [
            Route("POST", "/v1/chat/completions", self._chat),
            Route("DELETE", "/v1/streams/{id}", self._cancel),
            Route("GET", "/v1/streams/{id}", self._resume),
            Route("GET", "/v1/cache", self._list_cache),
            Route("DELETE", "/v1/cache/{program}", self._release),
            Route("POST", "/v1/cache/{program}/export", self._export),
            Route("POST", "/v1/cache/{program}/import", self._import),
            Route("GET", "/v1/load", self._get_load),
            Route("POST", "/v1/models", self._load_model),
            Route("POST", "/faults", self._post_fault),
            Route("GET", "/counters", self._get_counters),
        ]

    def _chat(self, req: Request) -> Response:
        self._runs.see(req.headers)
        chat = decode_json(req.body, ChatRequest)
        if chat.model not in self._models:
            raise BadInput(f"model: {chat.model!r} isn't loaded", 404)
        self._fencing.check(f"program {chat.program}", req.header("X-Fencing"))
        content = "\n".join(m.content for m in chat.messages)
        fault = self._faults.take(req.conn_id, content)
        if fault.mode is FaultMode.CRASH_ON:
            os._exit(CRASH_STATUS)
        request_id = req.header("X-Request-Id") or uuid.uuid4().hex
        stream = self._start(chat, request_id, fault)
        if fault.mode in (FaultMode.HANG, FaultMode.SILENT):
            self._faults.hang(fault.seconds)
            req.close()
        return self._answer(req, chat, stream, fault)

    def _start(self, chat: ChatRequest, request_id: str, fault: Fault) -> Stream:
        prompt = render(chat.messages)
        cached = self._cache.match(chat.program, prompt)
        prompt_tokens = sum(count_tokens(m.content) for m in chat.messages)
        cached_tokens = prompt_tokens * cached // len(prompt)
        prefill = prompt_tokens - cached_tokens
        prefill_seconds = prefill / self._settings.prefill_words_per_second
        word_seconds = 1 / self._settings.words_per_second + fault.word_seconds
        words = tuple(expected_words(chat.messages, chat.max_tokens))
        first_seconds = prefill_seconds + word_seconds + _slow_seconds(fault)
        seconds = first_seconds + word_seconds * len(words)
        token, start = self._batch.enter(seconds)
        self._cache.store(chat.program, prompt)
        stream = Stream(
            request_id=request_id,
            program=chat.program,
            words=words,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached_tokens,
            first_due=start + first_seconds,
            word_seconds=word_seconds,
        )
        self._runs.add(stream, token)
        return stream

    def _answer(
        self, req: Request, chat: ChatRequest, stream: Stream, fault: Fault
    ) -> Response:
        headers = (("X-Request-Id", stream.request_id),)
        events = Events(stream)
        if fault.mode is FaultMode.CROSSED:
            events = events.crossed(expected_words(_OTHER_MESSAGES, chat.max_tokens))
        if not chat.stream:
            _sleep_until(stream.ends)
            self._finish(stream)
            body = msgspec.json.encode(events.whole())
            if fault.mode is FaultMode.CUT_HALF:
                chunks = _cut(req, body)
                return Response(headers=headers, stream=chunks, length=len(body))
            return Response(headers=headers, body=body)
        stop = len(stream.words) // 2 if fault.mode is FaultMode.CUT_HALF else None
        chunks = self._stream(req, stream, events, 0, stop)
        return Response(
            content_type="text/event-stream", headers=headers, stream=chunks
        )

    def _stream(
        self,
        req: Request,
        stream: Stream,
        events: Events,
        first: int,
        stop: int | None = None,
    ) -> Iterator[bytes]:
        n_sent = first
        for index in range(first, len(stream.words)):
            _sleep_until(stream.due(index))
            if stream.cancelled.is_set():
                break
            if index == stop:
                req.close()
                return
            if self._faults.is_silent(req.conn_id):
                self._faults.hang()
                req.close()
                return
            yield events.word(index)
            n_sent = index + 1
        else:
            self._finish(stream)
        yield events.done(n_sent)
        yield events.end()

    def _finish(self, stream: Stream) -> None:
        answer = Message("assistant", "".join(stream.words))
        self._cache.store(stream.program, stream.prompt + render([answer]))

    def _cancel(self, req: Request) -> Response:
        stream, token = self._find(req)
        stream.cancelled.set()
        self._batch.leave(token)
        self._runs.cancel(stream.request_id)
        return Response(204)

    def _resume(self, req: Request) -> Response:
        stream, _token = self._find(req)
        first = check_int(req.query.get("from", "0"), "from")
        self._faults.take(req.conn_id, "")
        chunks = self._stream(req, stream, Events(stream), first)
        return Response(content_type="text/event-stream", stream=chunks)

    def _find(self, req: Request) -> tuple[Stream, object]:
        found = self._runs.find(req.params["id"])
        if found is None:
            raise BadInput(f"no stream {req.params['id']!r}", 404)
        return found

    def _list_cache(self, _req: Request) -> Response:
        return Response.from_json({"programs": self._cache.listing()})

    def _release(self, req: Request) -> Response:
        program = req.params["program"]
        self._fencing.check(f"program {program}", req.header("X-Fencing"))
        self._cache.release(program)
        return Response(204)

    def _export(self, req: Request) -> Response:
        program, url = self._cache_order(req)
        prefix = self._cache.get(program)
        if prefix is None:
            raise BadInput(f"nothing cached for {program!r}", 404)
        answer = self._pool.request("PUT", url, body=prefix)
        if answer.status >= 400:
            raise BadInput(f"the platform answered {answer.status}", 424)
        return Response.from_json({"bytes": len(prefix)})

    def _import(self, req: Request) -> Response:
        program, url = self._cache_order(req)
        answer = self._pool.request("GET", url)
        if answer.status != 200:
            raise BadInput(f"the platform answered {answer.status}", 424)
        self._cache.store(program, answer.data)
        return Response.from_json({"bytes": len(answer.data)})

    def _cache_order(self, req: Request) -> tuple[str, str]:
        program = req.params["program"]
        self._fencing.check(f"program {program}", req.header("X-Fencing"))
        order = decode_json(req.body, CacheOrder)
        if not self._settings.platform_url:
            raise BadInput("this engine was given no platform", 409)
        name = quote(order.object, safe="")
        return program, f"{self._settings.platform_url}/v1/objects/{name}"

    def _get_load(self, _req: Request) -> Response:
        now = time.monotonic()
        taken, report = self._load
        if now - taken >= self._settings.load_lag_seconds:
            report = self._load_report()
            self._load = (now, report)
        return Response.from_json(report)

    def _load_report(self) -> dict[str, object]:
        running, waiting = self._batch.load()
        return {
            "incarnation": self._incarnation,
            "running": running,
            "waiting": waiting,
            "models": list(self._models),
            "cache_bytes": sum(self._cache.listing().values()),
            "cache_capacity_bytes": self._cache.capacity_bytes,
        }

    def _load_model(self, req: Request) -> Response:
        order = decode_json(req.body, ModelOrder)
        self._fencing.check(f"model {order.model}", req.header("X-Fencing"))
        time.sleep(self._settings.load_model_seconds)
        self._models[order.model] = None
        return Response.from_json({"models": list(self._models)})

    def _post_fault(self, req: Request) -> Response:
        self._faults.put(decode_json(req.body, Fault))
        return Response(204)

    def _get_counters(self, _req: Request) -> Response:
        report = {"incarnation": self._incarnation, **self._runs.report()}
        return Response.from_json(report)


def _slow_seconds(fault: Fault) -> float:
    return fault.seconds if fault.mode is FaultMode.SLOW else 0.0


def _sleep_until(when: float) -> None:
    time.sleep(max(0.0, when - time.monotonic()))


def _cut(req: Request, body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // 2]
    req.close()
