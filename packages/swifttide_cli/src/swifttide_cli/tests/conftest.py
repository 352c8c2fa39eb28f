"""A daemon's operators' calls in memory, on a port from the OS."""

import json
import threading
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

import pytest
from cheroot.wsgi import Server

from swifttide_cli.__main__ import main

KEY = "st-operator"


@dataclass
class FakeDaemon:
    """Keeps documents and answers as docs/operators/api.md says.

    `lose_answers` breaks the connection after an edit took effect; `lagging` counts
    the looks at the list of hosts for which one of them is behind.
    """

    documents: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    programs: dict = field(default_factory=dict)
    lose_answers: bool = False
    refuse_edits: bool = False
    lagging: int = 0
    bodies: list = field(default_factory=list)
    url: str = ""

    @property
    def version(self):
        return len(self.changes)

    def put(self, kind, name, document, operator="other"):
        self.changes.append((kind, name, document, operator))
        self.documents[kind, name] = (self.version, document)
        return self.version

    def __call__(self, environ, start_response):
        if environ.get("HTTP_AUTHORIZATION") != f"Bearer {KEY}":
            return self._problem(start_response, 401, "unauthenticated")
        path = environ["PATH_INFO"]
        parts = [unquote(p) for p in path.split("/")[3:]]
        match environ["REQUEST_METHOD"], parts:
            case "GET", ["documents", kind]:
                found = [self._stored(k, n) for k, n in self.documents if k == kind]
                return self._ok(start_response, {"documents": found})
            case "GET", ["documents", kind, name] if (kind, name) in self.documents:
                return self._ok(start_response, self._stored(kind, name))
            case "PUT", ["documents", kind, name]:
                return self._put(environ, start_response, kind, name)
            case "GET", ["history"]:
                return self._history(environ, start_response)
            case "GET", ["hosts"]:
                return self._ok(start_response, {"hosts": self._hosts()})
            case "GET", ["targets"]:
                rows = [{"queue": 2, "name": "t1", "state": "live"}]
                return self._ok(start_response, {"targets": rows})
            case "GET" | "DELETE" as method, ["programs", customer, program] if (
                customer,
                program,
            ) in self.programs:
                state = self.programs[customer, program]
                if method == "DELETE":
                    state["state"] = "ended"
                return self._ok(start_response, state)
        return self._problem(start_response, 404, "not_found")

    def _put(self, environ, start_response, kind, name):
        size = int(environ["CONTENT_LENGTH"])
        body = environ["wsgi.input"].read(size)
        self.bodies.append(body)
        if self.refuse_edits:
            return self._problem(start_response, 503, "platform_unavailable")
        edit = json.loads(body)
        current, document = self.documents.get((kind, name), (0, None))
        if edit["base_version"] != current:
            more = {"current_version": current, "current_document": document}
            return self._problem(start_response, 409, "conflict", **more)
        version = self.put(kind, name, edit["document"], "me")
        if self.lose_answers:
            raise OSError("cut")
        return self._ok(start_response, {"version": version})

    def _history(self, environ, start_response):
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        rows = [
            {"version": v, "kind": k, "name": n, "document": d, "operator": o}
            for v, (k, n, d, o) in enumerate(self.changes, 1)
            if query.get("kind", k) == k and query.get("name", n) == n
        ]
        return self._ok(start_response, {"changes": rows})

    def _hosts(self):
        behind = self.lagging > 0
        self.lagging -= behind
        states = [("h1", "live", self.version), ("h2", "live", self.version - behind)]
        states.append(("h3", "dead", 0))
        return [
            {"host": h, "zone": "z", "state": s, "config_version": v, "incarnation": 7}
            for h, s, v in states
        ]

    def _stored(self, kind, name):
        version, document = self.documents[kind, name]
        return {"name": name, "version": version, "document": document}

    def _ok(self, start_response, body):
        return self._answer(start_response, "200 OK", body)

    def _problem(self, start_response, status, reason, **more):
        body = {"reason": reason, "detail": "no", "verdict": "not_run", **more}
        return self._answer(start_response, f"{status} No", body)

    def _answer(self, start_response, status, body):
        data = json.dumps(body).encode()
        start_response(status, [("Content-Length", str(len(data)))])
        return [data]


class Switch:
    """The application of the one server, pointed at the fake of each test."""

    fake = None

    def __call__(self, environ, start_response):
        return self.fake(environ, start_response)


@pytest.fixture(scope="session")
def switch():
    """Serve on one port for all tests; stopping a server takes long."""
    app = Switch()
    server = Server(("127.0.0.1", 0), app, shutdown_timeout=1)
    server.error_log = lambda *args, **kwargs: None
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    app.url = f"http://127.0.0.1:{server.bind_addr[1]}"
    yield app
    server.stop()
    thread.join()


@pytest.fixture
def daemon(switch, monkeypatch):
    """Point the command at a fake daemon."""
    switch.fake = FakeDaemon(url=switch.url)
    monkeypatch.setenv("SWIFTTIDE_URL", switch.url)
    monkeypatch.setenv("SWIFTTIDE_OPERATOR_KEY", KEY)
    return switch.fake


@dataclass
class Outcome:
    """What a run of the command left behind."""

    code: int
    out: str
    err: str

    @property
    def data(self):
        return json.loads(self.out)


@pytest.fixture
def run(capsys):
    """Run the command as a shell would."""

    def run_command(*argv):
        capsys.readouterr()
        code = main([str(a) for a in argv])
        out, err = capsys.readouterr()
        return Outcome(int(code), out, err)

    return run_command


@pytest.fixture
def profile_file(tmp_path):
    """Write a profile and return its file."""

    def write(**members):
        path = tmp_path / "profile.jsonc"
        path.write_text(json.dumps({"name": "catalogue", **members}))
        return path

    return write
