"""Simulated hosts with rate limiters, on a network that loses messages."""

import asyncio
import random

from swifttide_core.forwarding import CustomerTerms
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.rates._rate_limiter import RateLimiter

TERMS = CustomerTerms("c", rate_per_second=15.0, burst=15.0)
WINDOW_SECONDS = 5.0
"""Length of the window in which admitted requests of a customer are counted."""

EXTRA_REQUESTS = 20.0
"""Number of requests by which a customer may exceed its limits in a window."""

MAX_HOLDERS = 12


class Hosts:
    """Hosts on a network that loses, duplicates and delays messages.

    Parameters
    ----------
    n_hosts : int
    customers : tuple of CustomerTerms
    loss, duplication : float
        Fractions of the messages that are lost, and that are delivered twice.
    seed : int
    extra : float
        Number of requests by which a customer may exceed its limits, as configured at
        the hosts.
    """

    def __init__(
        self,
        log,
        n_hosts,
        customers=(TERMS,),
        loss=0.0,
        duplication=0.0,
        seed=0,
        extra=0.0,
    ):
        self.extra = extra
        self.rng = random.Random(seed)
        self.log = log
        self.loss = loss
        self.duplication = duplication
        self.customers = customers
        self.admitted = {t.name: [] for t in customers}
        self.peers = [Peer(f"h{i}", 1, f"z{i % 3}", f"b{i}") for i in range(n_hosts)]
        self.unreachable = set()
        """Addresses of hosts that are partitioned, suspended or dead."""
        self.delays = {}
        """Seconds by which messages to a host are late, by its address."""
        self.limiters = {}
        self.tasks = {}
        for own in self.peers:
            self.start(own)

    def start(self, own):
        fleet = Fleet(own, self.log)
        for peer in self.peers:
            if peer.ip != own.ip:
                fleet.record_beacon(peer, True)
        fleet.is_heard = lambda ip: not {own.ip, ip} & self.unreachable
        limiter = RateLimiter(
            fleet, self.holders, self.sender(own), self.log, self.extra
        )
        holds = own.ip in self.holders()
        limiter.share = 1.0 / len(self.holders()) if holds else 0.0
        limiter.update_customers(self.customers)
        self.limiters[own.ip] = limiter
        self.tasks[own.ip] = asyncio.create_task(limiter.run())

    def restart(self, number):
        """Kill a host's process and start a new one at its address."""
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
            if {own.ip, ip} & self.unreachable or self.rng.random() < self.loss:
                return
            loop = asyncio.get_running_loop()
            for _ in range(1 + (self.rng.random() < self.duplication)):
                delay = self.rng.uniform(0.0002, 0.003) + self.delays.get(ip, 0.0)
                loop.call_later(delay, self.deliver, own.ip, ip, message)

        return send

    def deliver(self, sender, ip, message):
        if ip not in self.unreachable:
            self.limiters[ip].handle_message(message, sender)

    async def request(self, number, terms=TERMS, wait=0.0):
        """Send a request to a host; return whether it was admitted."""
        limiter = self.limiters[self.peers[number % len(self.peers)].ip]
        try:
            await limiter.take("r", terms, wait)
        except Refusal:
            return False
        self.admitted[terms.name].append(asyncio.get_running_loop().time())
        return True

    def max_admitted_in_window(self, terms=TERMS):
        """Return the largest number of requests admitted within any window."""
        times = sorted(self.admitted[terms.name])
        return max(
            (sum(1 for t in times if s <= t < s + WINDOW_SECONDS) for s in times),
            default=0,
        )


def max_allowed_in_window(terms):
    """Return the number of requests that a customer may have admitted in a window."""
    owed = terms.rate_per_second * WINDOW_SECONDS + terms.burst
    return owed * 1.1 + EXTRA_REQUESTS


class CentralBucket:
    """Ideal reference: one token bucket that every request reaches without delay."""

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
