"""Answers of runners that are cut in their head or in their body, by kind of route."""

import asyncio

import pytest

from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import STREAM, TURN, route
from swifttide_standins.print_office import Reply

MARK = b"Swifttide-Attempt-Id: ATTEMPT\r\nSwifttide-Server-Stamp: s\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
HEAD = STATUS + MARK
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WITH_LENGTH = HEAD + b"Content-Length: 900\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EVENT = b"id: 1\ndata: d1\n\n"
PARTIAL = b"id: 2\nda"
CUTS = {
    "status_line": STATUS[:7],
    "reason": STATUS[:14],
    "field_name": HEAD[:24],
    "field_value": HEAD[:-4],
    "length": HEAD + b"Content-Length: 0",
    "before_blank_line": HEAD + b"Content-Length: 0\r\n",
    "within_blank_line": HEAD + b"Content-Length: 0\r\n\r",
    "informational_only": CONTINUE,
    "after_informational": CONTINUE + HEAD[:24],
    "length_no_body": WITH_LENGTH,
    "length_in_body": WITH_LENGTH + EVENT,
    "chunks_no_body": CHUNKED,
    "chunk_size": CHUNKED + b"00",
    "chunk": CHUNKED + b"10\r\n" + EVENT[:9],
    "after_chunk": CHUNKED + b"10\r\n" + EVENT + b"\r\n",
    "within_event": CHUNKED + b"18\r\n" + EVENT + PARTIAL + b"\r\n",
    "within_final_chunk": CHUNKED + b"10\r\n" + EVENT + b"\r\n0",
    "before_end_of_final_chunk": CHUNKED + b"10\r\n" + EVENT + b"\r\n0\r\n",
}
"""What a runner sends before its connection ends, by the place of the cut."""

RESET_CUTS = CUTS | {"no_length": HEAD + b"\r\n" + EVENT}
"""Where a connection that is reset ends a body without a length."""

KINDS = {
    "lookup": {},
    "charge": {"type": "non_idempotent", "max_attempts": 1},
    "brief": STREAM,
    "check": STREAM | {"resumable": True},
    "draft": TURN,
    "pages": TURN | {"resumable": True},
}
GOES_ON = ("lookup", "check", "pages")
"""Routes whose requests may be sent again, or whose streams may be resumed."""

N_EVENTS = 3
MAX_CONCURRENT_CASES = 8
RUNTIME = {"chunk_tokens": 10, "capacity": 12}
EVENTS = b"".join(b"id: %d\ndata: d%d\n\n" % (n, n) for n in (1, 2, 3))


class CutOnce:
    """Script of two runners, of which the one that is asked first cuts its answer."""

    def __init__(self, cut, reset):
        self.cut, self.reset = cut, reset
        self.n_asked = 0
        self.n_connections = None
        self.first = None

    def script_of(self, runner):
        whole = runner.events(N_EVENTS)

        def script(request):
            attempt = request.fields["swifttide-attempt-id"]
            if attempt.startswith("first"):
                return whole(request)
            self.n_asked += 1
            if self.n_asked > 1:
                return whole(request)
            self.first = runner
            self.n_connections = runner.server.n_connections
            cut = self.cut.replace(b"ATTEMPT", attempt.encode())
            return Reply(cut=cut, reset=self.reset)

        return script


async def connect_to_all(site, name, runners):
    """Have the gateway keep a connection to each of the runners."""
    for runner in runners:
        runner.run_seconds = 0.05
    for n in range(5):
        attempts = [f"first-{name}-{n}-{m}" for m in range(8)]
        await asyncio.gather(
            *(site.send(f"/{name}/{a}", attempt_id=a, **programs(a)) for a in attempts)
        )
        if all(runner.ran for runner in runners):
            break
    for runner in runners:
        runner.run_seconds = 0.0
        assert runner.ran, (name, [len(r.ran) for r in runners])


def programs(attempt):
    return {"program_id": f"p-{attempt}", "session_id": f"s-{attempt}"}


async def ask(site, name, runners, cut, reset, kept):
    """Send a request whose first target cuts its answer.

    Returns what its caller got, how often targets were asked, and whether the first one
    was asked over a kept connection.
    """
    once = CutOnce(cut, reset)
    for runner in runners:
        runner.script = once.script_of(runner)
    if kept:
        await connect_to_all(site, name, runners)
    before = [runner.server.n_connections for runner in runners]
    attempt = f"a-{name}"
    answer = await site.send(
        f"/{name}/1", b"in", attempt_id=attempt, **programs(attempt)
    )
    was_kept = once.n_connections == before[runners.index(once.first)]
    return (answer.status, answer.whole, answer.body), once.n_asked, was_kept


@pytest.mark.parametrize("kept", [False, True], ids=["fresh", "kept"])
@pytest.mark.parametrize("reset", [False, True], ids=["end", "reset"])
def test_cut_answer_is_never_whole(play, reset, kept):
    """Guards against a short body that is framed as whole, and a request run twice."""
    cuts = RESET_CUTS if reset else CUTS
    cases = {f"{kind}-{place}": (kind, place) for kind in KINDS for place in cuts}
    routes = [route(name, name, **KINDS[kind]) for name, (kind, _) in cases.items()]
    services = [{"name": name, "runtime": RUNTIME} for name in cases]

    async def scenario(site):
        runners = {
            name: [await site.add_runner(f"{name}-{n}", name) for n in range(2)]
            for name in cases
        }
        gateway = site.gateways[0]
        await until(lambda: len(gateway.beliefs.targets) == 2 * len(cases))
        room = asyncio.Semaphore(MAX_CONCURRENT_CASES)

        async def ask_one(name):
            async with room:
                cut = cuts[cases[name][1]]
                return await ask(site, name, runners[name], cut, reset, kept)

        return dict(zip(cases, await asyncio.gather(*map(ask_one, cases)), strict=True))

    found = play(scenario, routes=routes, services=services)
    goes_on = {n: f for n, f in found.items() if cases[n][0] in GOES_ON}
    fails = {n: f for n, f in found.items() if cases[n][0] not in GOES_ON}
    assert goes_on == dict.fromkeys(goes_on, ((200, True, EVENTS), 2, kept))
    for (status, whole, _), n_asked, was_kept in fails.values():
        assert (n_asked, was_kept) == (1, kept)
        assert not whole or status == 502


@pytest.mark.parametrize("kind", KINDS)
def test_answer_without_a_length_ends_with_its_connection(play, kind):
    """Guards against a whole answer that counts as cut."""

    async def scenario(site):
        runner = await site.add_runner("i-1", "app")

        def script(request):
            attempt = request.fields["swifttide-attempt-id"].encode()
            return Reply(cut=HEAD.replace(b"ATTEMPT", attempt) + b"\r\n" + EVENTS)

        runner.script = script
        await until(lambda: site.gateways[0].beliefs.targets)
        answer = await site.send(f"/{kind}/1", b"in", **programs("a1"))
        return answer.status, answer.whole, answer.body, len(runner.ran)

    routes = [route(kind, "app", **KINDS[kind])]
    services = [{"name": "app", "runtime": RUNTIME}]
    found = play(scenario, routes=routes, services=services)
    assert found == (200, True, EVENTS, 1)
