"""Hosts that keep customers' rates, on a network that loses messages."""

import asyncio
import random

from swifttide_core.forwarding import CustomerTerms
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.rates._rate_keeper import RateKeeper

TERMS = CustomerTerms("c", rate_per_second=15.0, burst=15.0)
WINDOW = 5.0
"""Seconds in which a customer's requests are counted."""

EXTRA = 20.0
"""Requests by which the rule lets a customer exceed its limits in a window."""

MAX_HOLDERS = 12


class Hosts:
    """Hosts with a network that loses, doubles and delays messages.

    Parameters
    ----------
    n_hosts : int
    customers : tuple of CustomerTerms
    loss, doubled : float
        Part of the messages that are lost, and that come twice.
    seed : int
    extra : float
        Requests by which a customer may exceed its limits, as the hosts know it.
    """

    def __init__(
        self,
        log,
        n_hosts,
        customers=(TERMS,),
        loss=0.0,
        doubled=0.0,
        seed=0,
        extra=0.0,
    ):
        self.extra = extra
        self.rng = random.Random(seed)
        self.log = log
        self.loss = loss
        self.doubled = doubled
        self.customers = customers
        self.admitted = {t.name: [] for t in customers}
        self.peers = [Peer(f"h{i}", 1, f"z{i % 3}", f"b{i}") for i in range(n_hosts)]
        self.away = set()
        """Hosts that are cut off, frozen or dead."""
        self.keepers = {}
        self.tasks = {}
        for own in self.peers:
            self.start(own)

    def start(self, own):
        fleet = Fleet(own, self.log)
        for peer in self.peers:
            if peer.ip != own.ip:
                fleet.record_beacon(peer, True)
        fleet.is_heard = lambda ip: not {own.ip, ip} & self.away
        keeper = RateKeeper(fleet, self.holders, self.sender(own), self.log, self.extra)
        holds = own.ip in self.holders()
        keeper.share = 1.0 / len(self.holders()) if holds else 0.0
        keeper.follow(self.customers)
        self.keepers[own.ip] = keeper
        self.tasks[own.ip] = asyncio.create_task(keeper.run())

    def restart(self, number):
        """Kill a host and start its next process."""
        old = self.peers[number]
        self.tasks[old.ip].cancel()
        own = Peer(old.ip, 1, old.zone, old.boot + "+")
        self.peers[number] = own
        self.start(own)

    def holders(self):
        return tuple(p.ip for p in self.peers[:MAX_HOLDERS])

    def sender(self, own):
        """Return a function that sends a message to a host."""

        def send(ip, message):
            if {own.ip, ip} & self.away or self.rng.random() < self.loss:
                return
            loop = asyncio.get_running_loop()
            for _ in range(1 + (self.rng.random() < self.doubled)):
                delay = self.rng.uniform(0.0002, 0.003)
                loop.call_later(delay, self.deliver, own.ip, ip, message)

        return send

    def deliver(self, sender, ip, message):
        if ip not in self.away:
            self.keepers[ip].take_message(message, sender)

    async def request(self, number, terms=TERMS, wait=0.0):
        """Ask to be let in at a host; return whether it was."""
        keeper = self.keepers[self.peers[number % len(self.peers)].ip]
        try:
            await keeper.take("r", terms, wait)
        except Refusal:
            return False
        self.admitted[terms.name].append(asyncio.get_running_loop().time())
        return True

    def most_in_window(self, terms=TERMS):
        """Return the most requests let in within any window."""
        times = sorted(self.admitted[terms.name])
        return max(
            (sum(1 for t in times if s <= t < s + WINDOW) for s in times), default=0
        )


def allowed(terms):
    """Return what the rule lets a customer have in a window."""
    owed = terms.rate_per_second * WINDOW + terms.burst
    return owed * 1.1 + EXTRA


class CentralBucket:
    """One bucket that every request reaches at once: what a customer is due."""

    def __init__(self, terms):
        self.rate, self.burst = terms.rate_per_second, terms.burst
        self.level, self.at = terms.burst, 0.0

    def take(self, now):
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
