"""Tests of the admission of programs of a customer that is at its rate."""

import asyncio

import pytest

from swifttide_core.forwarding import CustomerTerms
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.tests._rate_hosts import (
    EXTRA_REQUESTS,
    Hosts,
    max_allowed_in_window,
)
from swifttide_standins.paused_clock import run_paused

REQUESTS_PER_STAGE = (1, 3, 3, 3, 3, 3)
"""Number of concurrent requests of a program in each of its consecutive stages."""

STAGE_SECONDS = 0.25
DEADLINE_SECONDS = 1.6 * STAGE_SECONDS * len(REQUESTS_PER_STAGE)


class Programs:
    """Programs of one customer, each with sixteen requests."""

    def __init__(self, hosts, terms):
        self.hosts = hosts
        self.terms = terms
        self.n_in_time = 0
        self.n_started = 0

    async def run(self, name):
        """Run a program; its first request is retried up to twice after a refusal."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        number = self.hosts.rng.randrange(len(self.hosts.peers))
        for attempt in range(3):
            seconds = await self.request(number + attempt, name, True)
            if seconds is None:
                break
            await asyncio.sleep(seconds)
        else:
            return
        self.n_started += 1
        for width in REQUESTS_PER_STAGE[1:]:
            await asyncio.sleep(STAGE_SECONDS)
            calls = [self.request(number, name, False) for _ in range(width)]
            if any(s is not None for s in await asyncio.gather(*calls)):
                return
        await asyncio.sleep(STAGE_SECONDS)
        self.n_in_time += loop.time() - began <= DEADLINE_SECONDS

    async def request(self, number, name, may_be_new):
        """Return None if the request was admitted, else the retry delay in seconds."""
        limiter = self.hosts.limiters[self.hosts.peers[number % 9].ip]
        try:
            await limiter.take("r", self.terms, 1.5, name, may_be_new)
        except Refusal as refusal:
            return refusal.retry_after
        return None


class TestReturnedTokens:
    def test_program_in_a_loop_does_not_starve_others(self, log):
        """Guards against the loss of rate tokens of refused turns.

        A program has exhausted its token budget and continues to request turns at many
        hosts. Each is refused and returns its rate token, which must be available to
        other programs of the customer.
        """
        terms = CustomerTerms("c", (), None, 9.0, 9.0)

        async def main():
            hosts = Hosts(log, 24, (terms,))
            await asyncio.sleep(4.0)
            served = 0
            for i in range(400):
                limiter = hosts.limiters[f"h{i % 24}"]
                try:
                    await limiter.take("loop", terms, 0.0)
                    limiter.refund(terms)
                except Refusal:
                    pass
                if i % 8 == 0:
                    served += await hosts.request(i // 8, terms, 0.5)
                await asyncio.sleep(0.025)
            return served, hosts.max_admitted_in_window(terms)

        served, most = run_paused(main())
        assert served >= 48
        assert most <= max_allowed_in_window(terms)


class TestPrograms:
    def test_admitted_programs_end_in_time(self, log):
        """A customer starts twice as many programs as its rate can serve.

        Without admission control, the programs compete for tokens, and the customer's
        rate is spent on programs that end late or never: of 360 programs, 180 of which
        fit the rate, 20 to 30 end in time.
        """
        terms = CustomerTerms("c", (), None, 8.0, 8.0)

        async def main(seed):
            hosts = Hosts(log, 9, (terms,), seed=seed)
            await asyncio.sleep(4.0)
            programs = Programs(hosts, terms)
            tasks = []
            for i in range(60):
                tasks.append(asyncio.create_task(programs.run(f"p{i}")))
                await asyncio.sleep(hosts.rng.expovariate(1.0))
            await asyncio.gather(*tasks)
            return programs.n_in_time

        assert sum(run_paused(main(seed)) for seed in range(6)) >= 80

    def test_program_that_needs_more_than_the_rate_ends_in_time(self, log):
        """Guards against delays of all long programs of customers with small rates."""
        terms = CustomerTerms("c", (), None, 8.0, 8.0)
        n_stages, width, stage_seconds = 11, 3, 0.13

        async def main():
            hosts = Hosts(log, 9, (terms,), extra=EXTRA_REQUESTS)
            loop, seconds = asyncio.get_running_loop(), []
            for i in range(3):
                await asyncio.sleep(6.0)
                began, limiter = loop.time(), hosts.limiters[f"h{i}"]
                for stage in range(n_stages):
                    calls = [
                        limiter.take("r", terms, 1.5, f"p{i}", stage == 0, "check")
                        for _ in range(width)
                    ]
                    await asyncio.gather(*calls)
                    await asyncio.sleep(stage_seconds)
                seconds.append(loop.time() - began)
            return seconds

        aim = 1.3 * n_stages * stage_seconds + 0.2
        assert max(run_paused(main())) <= aim

    def test_repeated_query_is_counted_once(self, log):
        """Guards against inflated size estimates of programs that wait for tokens.

        A request that waits for a token repeats its query. If each query was counted,
        programs that wait would seem larger than they are, and fewer programs would be
        admitted beside them.
        """
        terms = CustomerTerms("c", (), None, 1.0, 1.0)

        async def main():
            hosts = Hosts(log, 1, (terms,))
            await asyncio.sleep(4.0)
            limiter = hosts.limiters["h0"]
            for _ in range(2):
                await limiter.take("r", terms, 1.5, "p")
            await asyncio.sleep(2.0)
            await limiter.take("r", terms, 1.5, "q", True)
            return limiter._pools._sizes.get("")

        sizes = run_paused(main())
        assert sizes.n_programs == 1
        assert sizes.calls == pytest.approx(6.0 + (2 - 6.0) / 3)

    def test_customer_within_its_rate_starts_all_programs(self, log):
        """All programs of a customer within its rate are admitted without delay."""
        terms = CustomerTerms("c", (), None, 60.0, 60.0)

        async def main():
            hosts = Hosts(log, 9, (terms,))
            await asyncio.sleep(4.0)
            programs = Programs(hosts, terms)
            tasks = []
            for i in range(60):
                tasks.append(asyncio.create_task(programs.run(f"p{i}")))
                await asyncio.sleep(hosts.rng.expovariate(2.2))
            await asyncio.gather(*tasks)
            return programs.n_in_time

        assert run_paused(main()) >= 59
