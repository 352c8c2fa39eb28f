"""Leases, slots and promises: no two hosts ever act as holder of one slot."""

from dataclasses import dataclass, field, replace

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from swifttide_core.membership import (
    ExtensionRound,
    ExtensionTimes,
    HostLease,
    HostRow,
    HostState,
    LeaseMonitor,
    LeaseTimes,
    PromiseState,
    SlotRow,
    assign_slots,
    depose_delay_seconds,
    plan_claims,
    plan_handovers,
)
from tests.fuzz._platform import (
    Check,
    ConflictError,
    FakePlatform,
    NoAnswerError,
    Weather,
    Write,
)
from tests.fuzz._settings import run_fuzz

TIMES = LeaseTimes(lease_seconds=6.0, renew_seconds=2.0, drift_margin_seconds=1.0)
OUTAGE = ExtensionTimes(promise_seconds=6.0, max_extension_seconds=18.0)
SLOTS = (0, 1, 2)
NAMES = ("h1", "h2", "h3")
JOINER = "h4"
ALL = (*NAMES, JOINER)
RATES = {"h1": 1.0, "h2": 0.98, "h3": 1.02, "h4": 1.03}
HEAD = ("zone_heads", "z")
FATES = st.sampled_from([Weather.FINE] * 4 + list(Weather))


@dataclass
class Host:
    """One process: what the daemon's membership keeps in memory."""

    name: str
    life: int
    lease: HostLease = field(default_factory=lambda: HostLease.from_times(TIMES))
    watch: LeaseMonitor = field(default_factory=lambda: LeaseMonitor.from_times(TIMES))
    book: PromiseState | None = None
    round: ExtensionRound | None = None
    incarnation: str = ""
    registered_head: int = 0
    view_head: int = 0
    hosts: dict = field(default_factory=dict)
    slots: tuple = ()
    held: set = field(default_factory=set)
    given_up: dict = field(default_factory=dict)
    n_writes: int = 0


class MembershipMachine(RuleBasedStateMachine):
    """Three hosts of a zone and one that joins; clocks drift, unpicked hosts pause."""

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.now = 100.0
        self.cut = set()
        self.messages = []
        self.hosts = {}
        for name in NAMES:
            self.start(name)
        for name in 3 * NAMES:
            self.live_on(name, Weather.FINE)

    def start(self, name):
        life = self.hosts[name].life + 1 if name in self.hosts else 1
        self.hosts[name] = Host(name, life, book=PromiseState(name))

    def clock(self, host):
        return self.now * RATES[host.name] + host.life * 1000

    def weather(self, host, weather):
        return Weather.DOWN if host.name in self.cut else weather

    def commit(self, host, writes, checks, weather):
        host.n_writes += 1
        name = f"{host.name}-{host.life}-{host.n_writes}"
        weather = self.weather(host, weather)
        return self.platform.transact(name, writes, checks, weather)

    def head_write(self, host):
        return Write(*HEAD, self.platform.read(*HEAD)[0], host.name)

    @rule(cut=st.sampled_from([(), ALL, ALL, NAMES, NAMES[:1], NAMES[1:], NAMES[:2]]))
    def cut_or_heal(self, cut):
        """Cut hosts off from the platform, all or some."""
        self.cut = set(cut)

    @rule(name=st.sampled_from(ALL), really=st.sampled_from([True] + [False] * 5))
    def kill_and_restart(self, name, really):
        if really:
            self.start(name)

    @precondition(lambda self: self.platform.delayed)
    @rule(pick=st.integers(0, 99))
    def delayed_write_arrives(self, pick):
        self.platform.deliver(pick % len(self.platform.delayed))

    def renew(self, name, weather, slow=0.0):
        """Renew or register; a slow answer comes long after the write."""
        host = self.hosts[name]
        if host.lease.row_version == 0:
            self.register(host, weather)
            return
        row = self.own_row(host)
        write = Write("hosts", host.name, host.lease.row_version, row)
        sent_at = self.clock(host)
        try:
            (version,) = self.commit(host, [write], [], weather)
        except NoAnswerError:
            return
        except ConflictError:
            self.adopt_or_lose(host)
            return
        self.now += slow
        host.lease = host.lease.with_renewal(sent_at, version)

    def register(self, host, weather):
        if host.name in self.cut:
            return
        sent_at = self.clock(host)
        version = self.platform.read("hosts", host.name)[0]
        host.incarnation = f"{host.name}.{host.life}.{host.n_writes}"
        write = Write("hosts", host.name, version, self.own_row(host))
        try:
            versions = self.commit(host, [write, self.head_write(host)], [], weather)
        except (NoAnswerError, ConflictError):
            return
        host.held.clear()
        host.lease = host.lease.with_renewal(sent_at, versions[0])
        host.registered_head = versions[1]

    def own_row(self, host):
        return HostRow(
            host.name, "z", host.incarnation, "", "", knows_head=host.view_head
        )

    def adopt_or_lose(self, host):
        """Look whether the conflict comes of an own renewal with a lost answer."""
        version, row = self.platform.read("hosts", host.name)
        ours = row is not None and row.incarnation == host.incarnation
        if ours and row.state is not HostState.DEAD:
            host.lease = replace(host.lease, row_version=version)
        else:
            host.lease = host.lease.without_registration()
            host.held.clear()

    def look(self, name):
        host = self.hosts[name]
        if host.name in self.cut:
            return
        host.view_head = self.platform.read(*HEAD)[0]
        rows = {n: self.platform.read("hosts", n) for n in ALL}
        host.hosts = {n: row for n, (_, row) in rows.items() if row is not None}
        slots = [self.platform.read("slots", str(s)) for s in SLOTS]
        host.slots = tuple(
            replace(row or SlotRow(s), version=version)
            for s, (version, row) in zip(SLOTS, slots, strict=True)
        )
        host.held = {
            row.slot
            for row in host.slots
            if row.host == host.name
            and row.incarnation == host.incarnation
            and row.epoch > host.given_up.get(row.slot, -1)
        }
        for other, (version, row) in rows.items():
            if other != host.name and row is not None:
                host.watch.observe(self.clock(host), other, version)

    def depose(self, name, weather):
        host = self.hosts[name]
        now = self.clock(host)
        if not host.lease.is_valid(now) or not host.book.may_depose(now):
            return
        waits = {
            other: depose_delay_seconds(
                TIMES, OUTAGE, row.knows_head, host.registered_head
            )
            for other, row in host.hosts.items()
        }
        for other, version in host.watch.expired_leases(now, waits).items():
            dead = replace(host.hosts[other], state=HostState.DEAD)
            writes = [Write("hosts", other, version, dead), self.head_write(host)]
            own = Check("hosts", host.name, host.lease.row_version)
            try:
                self.commit(host, writes, [own], weather)
            except (NoAnswerError, ConflictError):
                continue

    def claim(self, name, weather):
        host = self.hosts[name]
        now = self.clock(host)
        if not host.lease.is_valid(now) or not host.book.may_depose(now):
            return
        rows = plan_claims(host.name, host.slots, host.hosts, host.given_up)
        claimed = [
            replace(r, host=host.name, incarnation=host.incarnation, epoch=r.epoch + 1)
            for r in rows
        ]
        if claimed:
            self.write_slots(host, claimed, weather)

    def hand_over(self, name, weather):
        host = self.hosts[name]
        planned = plan_handovers(host.name, host.slots, host.hosts)
        rows = assign_slots(host.name, planned, host.hosts)
        if not host.lease.is_valid(self.clock(host)) or not rows:
            return
        host.held -= {row.slot for row in rows}
        epochs = {row.slot: row.epoch for row in host.slots}
        host.given_up |= {row.slot: epochs[row.slot] for row in rows}
        self.write_slots(host, rows, weather)

    def write_slots(self, host, rows, weather):
        writes = [Write("slots", str(row.slot), row.version, row) for row in rows]
        own = Check("hosts", host.name, host.lease.row_version)
        try:
            self.commit(host, writes, [own], weather)
        except (NoAnswerError, ConflictError):
            return False
        return True

    def ask(self, name):
        """Send the request for promises to all hosts that aren't known to be dead."""
        host = self.hosts[name]
        now = self.clock(host)
        others = [
            row.host
            for row in host.hosts.values()
            if row.host != name and row.state is not HostState.DEAD
        ]
        host.round = ExtensionRound.from_hosts(now, others, OUTAGE)
        host.lease = host.round.extend(host.lease, now, OUTAGE)
        self.messages += [(name, host.life, now, other, None) for other in others]

    @precondition(lambda self: self.messages)
    @rule(pick=st.integers(0, 99), again=st.booleans())
    def message_arrives(self, pick, again):
        """Deliver a request or an answer; a duplicate may come again later."""
        i = pick % len(self.messages)
        name, life, sent_at, other, answer = self.messages[i]
        if not again:
            self.messages.pop(i)
        if answer is None:
            peer = self.hosts[other]
            now, seen = self.clock(peer), other not in self.cut
            peer.book, answer = peer.book.answer(now, OUTAGE.promise_seconds, seen)
            self.messages.append((name, life, sent_at, other, answer))
            return
        host = self.hosts[name]
        same_round = host.round is not None and host.round.sent_at == sent_at
        if host.life == life and same_round:
            host.round = host.round.with_answer(answer)
            host.lease = host.round.extend(host.lease, self.clock(host), OUTAGE)

    @rule(
        times=st.integers(1, 5),
        names=st.permutations(ALL),
        n_awake=st.sampled_from([4, 4, 4, 3, 2, 1]),
        seconds=st.sampled_from([0.5, 1.0, 2.0, 3.0]),
        weather=FATES,
        answered=st.sampled_from([True, True, True, False]),
        slow=st.sampled_from([0.0, 0.0, 0.0, 0.0, 0.0, 4.0]),
    )
    def periods(self, times, names, n_awake, seconds, weather, answered, slow):
        """Let the same hosts be awake for some periods."""
        for _ in range(times):
            for name in [n for n in names[:n_awake] if n in self.hosts]:
                self.live_on(name, weather, slow)
                while self.messages and answered:
                    self.message_arrives(0, False)
                self.one_holder_a_slot()
            self.now += seconds

    def live_on(self, name, weather, slow=0.0):
        """Let a host do what it does every two seconds."""
        self.renew(name, weather, slow)
        self.look(name)
        self.depose(name, weather)
        self.look(name)
        self.claim(name, weather)
        self.hand_over(name, weather)
        self.look(name)
        if name in self.cut:
            self.ask(name)

    @invariant()
    def one_holder_a_slot(self):
        for slot in SLOTS:
            holders = [
                host.name
                for host in self.hosts.values()
                if slot in host.held and host.lease.is_valid(self.clock(host))
            ]
            assert len(holders) <= 1, f"slot {slot} is held by {holders}"


class TestMembership:
    def test_one_holder_a_slot(self):
        """Hosts lose the platform one by one, together and for long; one is paused
        past its lease, one restarts, one joins while others can't see it. Two holders
        would both hand out one customer's rate and both admit to one target.
        """
        run_fuzz(MembershipMachine)


class TestRareOrders:
    """Orders of events that random walks seldom take, on the same model."""

    def live(self, machine, names, n_periods):
        for _ in range(n_periods):
            for name in names:
                machine.live_on(name, Weather.FINE)
                while machine.messages:
                    machine.message_arrives(0, False)
                machine.one_holder_a_slot()
            machine.now += 1.0

    def test_lapsed_lease_is_not_revived(self):
        """A host is frozen past its lease, its slots are taken, and when it wakes up
        the platform is down for all: everybody promises, to a host long deposed.
        """
        machine = MembershipMachine()
        assert machine.hosts["h1"].held
        self.live(machine, ("h2", "h3"), 12)
        machine.cut_or_heal(ALL)
        self.live(machine, ("h1", "h2", "h3"), 2)

    def test_host_that_joins_unseen_waits(self):
        """Three hosts lose the platform and carry each other's leases; a fourth is
        started that sees the platform, and only their rows, standing still.
        """
        machine = MembershipMachine()
        machine.cut_or_heal(NAMES)
        machine.start(JOINER)
        self.live(machine, ALL, 12)
        assert any(machine.hosts["h1"].held), "promises carried no lease"
        assert machine.hosts["h1"].lease.is_valid(machine.clock(machine.hosts["h1"]))

    def test_host_that_joins_unseen_takes_over_after_the_limit(self):
        """As before, for longer: nobody may hold the slots twice, and they aren't
        lost for good either.
        """
        machine = MembershipMachine()
        machine.cut_or_heal(NAMES)
        machine.start(JOINER)
        self.live(machine, ALL, 45)
        assert machine.hosts[JOINER].held == set(SLOTS)

    def test_promise_counts_from_before_the_request(self):
        """The answers take three seconds. Counted from their arrival, the lease would
        outlast the promise, and a host that has the platform back deposes.
        """
        machine = MembershipMachine()
        machine.cut_or_heal(ALL)
        machine.ask("h1")
        for _ in range(2):
            machine.message_arrives(0, False)
        machine.now += 3.0
        while machine.messages:
            machine.message_arrives(0, False)
        machine.cut_or_heal(("h1",))
        self.live(machine, ("h2", "h3"), 12)

    def test_promise_holds_when_the_platform_is_back(self):
        """Two hosts promise, and see the platform again a second later, where the
        asker's row stands still. Their promise has to outlast what they see.
        """
        machine = MembershipMachine()
        machine.cut_or_heal(ALL)
        machine.now += 4.0
        machine.ask("h1")
        while machine.messages:
            machine.message_arrives(0, False)
        machine.now += 1.0
        machine.cut_or_heal(("h1",))
        self.live(machine, ("h2", "h3"), 12)
