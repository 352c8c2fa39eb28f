"""Requests that crash targets, under cuts, takeovers and repeated messages."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from swifttide_core.strikes import (
    REFUSAL_SECONDS,
    CrashClassifier,
    Refused,
    StrikeTracker,
)
from tests.fuzz._settings import run_fuzz

TARGETS = ("t0", "t1", "t2")
REQUESTS = ("bad", "good", "other")
TARGET = st.sampled_from(TARGETS)
REQUEST = st.sampled_from(REQUESTS)
AGAIN = st.sampled_from([1, 1, 2])


class StrikesMachine(RuleBasedStateMachine):
    """Targets that crash or are cut off, and two holders of the book in turn."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.book = StrikeTracker()
        self.watches = {target: CrashClassifier(target) for target in TARGETS}
        self.incarnations = dict.fromkeys(TARGETS, 0)
        self.messages = []
        self.broken = []
        self.crashes = {request: {} for request in REQUESTS}

    @rule(step=st.sampled_from([1.0, 100.0, REFUSAL_SECONDS]))
    def wait(self, step):
        self.now += step

    @rule(where=TARGET, requests=st.sets(REQUEST, min_size=1))
    def crash(self, where, requests):
        """Let a target die under requests; it comes back as another incarnation."""
        self._break(where, requests)
        self.incarnations[where] += 1

    @rule(where=TARGET, requests=st.sets(REQUEST, min_size=1))
    def cut(self, where, requests):
        """Lose connections to a target that goes on."""
        self._break(where, requests)

    @rule(where=TARGET, times=AGAIN)
    def see(self, where, times):
        """Hear from a target; the strikes arrive once or twice."""
        incarnation = self._incarnation(where)
        strikes = self.watches[where].classify(incarnation)
        self.messages += strikes * times
        crashed = {r for r, d in self.broken if d[0] == where and d[1] != incarnation}
        assert {strike.fingerprint for strike in strikes} == crashed
        self.broken = [(r, died) for r, died in self.broken if died[0] != where]

    @rule(backwards=st.booleans())
    def deliver(self, backwards):
        for strike in reversed(self.messages) if backwards else self.messages:
            self.book.record_strike(self.now, strike)
            crash = (strike.target, strike.incarnation)
            known = self.crashes[strike.fingerprint]
            recent = {c: at for c, at in known.items() if self._is_recent(at)}
            self.crashes[strike.fingerprint] = {crash: self.now, **recent}
        self.messages = []
        self._check()

    @rule(times=AGAIN)
    def take_over(self, times):
        """Pass the book on by a planned stop; the message may come twice."""
        records = self.book.export(self.now)
        self.book = StrikeTracker()
        for _ in range(times):
            self.book.merge(self.now, records)
        self._check()

    def _incarnation(self, target):
        return f"i{self.incarnations[target]}"

    def _break(self, target, requests):
        incarnation = self._incarnation(target)
        for request in sorted(requests):
            self.watches[target].record_broken_request(request, incarnation)
            self.broken.append((request, (target, incarnation)))

    def _is_recent(self, at):
        return self.now - at < REFUSAL_SECONDS

    def _check(self):
        """Refused exactly while two crashes are known, ten minutes apart at most."""
        for request, crashes in self.crashes.items():
            expected = len(crashes) >= 2 and self._is_recent(max(crashes.values()))
            standing = self.book.status_of(self.now, request)
            assert isinstance(standing, Refused) == expected, (request, crashes)


class TestStrikes:
    def test_only_crashes_count_and_each_counts_once(self):
        """Links flap, targets die, strikes arrive twice and in any order, and the host
        that counts them is replaced. A healthy request that is put aside is an order
        that nobody can place; one that is not puts the zone's targets down.
        """
        run_fuzz(StrikesMachine)
