"""The configuration at hosts that read old states, gaps and each other."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from swifttide_core.configuration import Change, ConfigState
from swifttide_core.documents import DocumentKind
from tests.fuzz._settings import run_fuzz

KEYS = ("a" * 64, "b" * 64)
HOSTS = range(3)


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators edit keys; hosts load, follow the log, and pull from each other."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.hosts = [ConfigState() for _ in HOSTS]
        self.seen = {}

    @rule(key=st.sampled_from(KEYS), withdrawn=st.booleans())
    def operator_edits(self, key, withdrawn):
        document = {"key_hash": key, "customer": "club", "withdrawn": withdrawn}
        version = len(self.log) + 1
        self.log.append(Change(version, DocumentKind.KEY, key, document))

    @rule(host=st.sampled_from(HOSTS), lag=st.integers(0, 5), late=st.integers(0, 5))
    def load_documents(self, host, lag, late):
        """Read a head that lags, and documents that may be newer than it."""
        head = max(0, len(self.log) - lag)
        newest = {}
        for change in self.log[: max(head, len(self.log) - late)]:
            newest[change.name] = change
        self.hosts[host].load(head, newest.values())

    @rule(
        host=st.sampled_from(HOSTS),
        begin=st.integers(0, 20),
        n=st.integers(1, 6),
        lost=st.integers(0, 9),
    )
    def read_log(self, host, begin, n, lost):
        """Read a page of the log, of whatever age, perhaps with one entry missing."""
        page = self.log[begin : begin + n]
        if lost < len(page):
            del page[lost]
        self.hosts[host].apply(reversed(page))

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.hosts[host] = ConfigState()
        self.seen = {place: v for place, v in self.seen.items() if place[0] != host}

    @invariant()
    def nothing_reverts(self):
        for host, state in enumerate(self.hosts):
            self.only_forward((host, "all"), state.version)
            for key in KEYS:
                newest = state.latest_change(DocumentKind.KEY, key)
                if newest is not None:
                    self.only_forward((host, key), newest.version)
                    grant = state.get(DocumentKind.KEY, key)
                    assert grant.withdrawn == newest.document["withdrawn"]

    def only_forward(self, place, version):
        assert version >= self.seen.get(place, 0), f"{place} went back"
        self.seen[place] = version

    @invariant()
    def no_edit_is_skipped(self):
        """Check that a host has the newest of each document up to its version."""
        for state in self.hosts:
            for key in KEYS:
                known = [c for c in self.log[: state.version] if c.name == key]
                if known:
                    newest = state.latest_change(DocumentKind.KEY, key)
                    assert newest is not None
                    assert newest.version >= known[-1].version


class TestConfiguration:
    def test_never_reverts_and_misses_nothing(self):
        """A store answers from a copy of last week, a peer's answer has a gap, a host
        restarts. A withdrawn key that comes back opens the door again.
        """
        run_fuzz(ConfigurationMachine)
