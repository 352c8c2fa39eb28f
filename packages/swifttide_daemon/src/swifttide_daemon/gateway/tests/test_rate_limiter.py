"""Tests of the rate limit of a customer over several hosts."""

import asyncio

import pytest

from swifttide_core.forwarding import CustomerTerms
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.rates._rate_messages import HandRate, RateAnswer
from swifttide_daemon.gateway.tests._rate_hosts import (
    EXTRA_REQUESTS,
    TERMS,
    CentralBucket,
    Hosts,
    max_allowed_in_window,
)
from swifttide_standins.paused_clock import run_paused


class TestRates:
    @pytest.mark.parametrize("n_hosts", [9, 69, 300])
    def test_customers_within_their_rates_are_rarely_refused(self, log, n_hosts):
        """Guards against refusals of small customers in large fleets.

        Customers with limits of 1 to 100 requests per second send five eighths of their
        rates, each request to a random host. With equal shares at all hosts, no host
        would have a whole token of a small customer, and the calls of its programs
        would fail.
        """
        rates = (1.0, 2.0, 5.0, 5.0, 8.0, 13.0, 20.0, 34.0, 63.0, 100.0)
        customers = tuple(
            CustomerTerms(f"c{i}", (), None, r, r) for i, r in enumerate(rates)
        )

        async def main():
            hosts = Hosts(log, n_hosts, customers)
            await asyncio.sleep(6.0)
            begin = asyncio.get_running_loop().time()
            central = {t.name: CentralBucket(t) for t in customers}
            tasks, due = [], []
            for terms in customers:
                at = 0.0
                while True:
                    at += hosts.rng.expovariate(terms.rate_per_second * 0.625)
                    if at > 20.0:
                        break
                    due.append((at, terms))
            due.sort(key=lambda pair: pair[0])
            n_due = 0
            for at, terms in due:
                now = asyncio.get_running_loop().time() - begin
                await asyncio.sleep(max(0.0, at - now))
                if central[terms.name].take(at):
                    n_due += 1
                number = hosts.rng.randrange(n_hosts)
                tasks.append(asyncio.create_task(hosts.request(number, terms)))
            served = sum(await asyncio.gather(*tasks))
            return served, n_due

        served, n_due = run_paused(main())
        assert served >= n_due * 0.999

    def test_customer_gets_its_whole_rate_through_one_host(self, log):
        """Guards against a limit of one share for customers that use a single host.

        All callers of a customer reach one host of ten. Its own share is a tenth; the
        remaining tokens come from hosts that do not need their shares.
        """

        async def main():
            hosts = Hosts(log, 10)
            await asyncio.sleep(2.0)
            served = 0
            for _ in range(120):
                served += await hosts.request(0)
                await asyncio.sleep(1 / 12)
            return served

        assert run_paused(main()) >= 115

    @pytest.mark.parametrize("extra", [0.0, EXTRA_REQUESTS])
    @pytest.mark.parametrize("seed", range(8))
    def test_rate_is_not_exceeded_under_overload(self, log, seed, extra):
        """A customer sends many times its rate to all hosts while messages are lost."""

        async def main():
            hosts = Hosts(log, 10, loss=0.2 * (seed % 3), seed=seed, extra=extra)
            await asyncio.sleep(2.0)
            tasks = []
            for i in range(1200):
                wait = 1.0 if i % 3 else 0.0
                number = hosts.rng.randrange(10)
                tasks.append(asyncio.create_task(hosts.request(number, TERMS, wait)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            return hosts.max_admitted_in_window()

        assert run_paused(main()) <= max_allowed_in_window(TERMS)

    @pytest.mark.parametrize("extra", [0.0, EXTRA_REQUESTS])
    @pytest.mark.parametrize("seed", range(12))
    def test_rate_is_not_exceeded_when_hosts_fail(self, log, seed, extra):
        """Guards against excess admissions after failures.

        Hosts are killed, suspended and partitioned, one or many at a time, and messages
        are lost and duplicated, while a customer sends far more than its rate. A host
        that resumes initially still considers itself the owner of the pool.
        """
        terms = CustomerTerms("c", (), None, *[(15.0, 15.0), (60.0, 60.0)][seed % 2])

        async def main():
            n_hosts = 24
            hosts = Hosts(log, n_hosts, (terms,), 0.02, 0.1, seed, extra)
            await asyncio.sleep(4.0)
            tasks = []
            for i in range(3000):
                if i % 50 == 0:
                    hosts.unreachable.clear()
                    fate = hosts.rng.random()
                    n_hit = hosts.rng.choice((1, 2, 8, 24))
                    hit = hosts.rng.sample(range(n_hosts), n_hit)
                    if fate < 0.3:
                        for number in hit:
                            hosts.restart(number)
                    elif fate < 0.8:
                        hosts.unreachable |= {hosts.peers[n].ip for n in hit}
                wait = 1.0 if i % 3 else 0.0
                number = hosts.rng.randrange(n_hosts)
                tasks.append(asyncio.create_task(hosts.request(number, terms, wait)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            return hosts.max_admitted_in_window(terms)

        assert run_paused(main()) <= max_allowed_in_window(terms)

    @pytest.mark.parametrize("extra", [0.0, EXTRA_REQUESTS])
    @pytest.mark.parametrize("seed", range(4))
    def test_forged_messages_do_not_raise_the_rate(self, log, seed, extra):
        """Forged messages from the address of one host arrive at all others.

        They transfer tokens that were taken from no share, claim the whole burst, and
        answer queries that were never sent, some of them repeatedly.
        """

        async def main():
            hosts = Hosts(log, 9, seed=seed, extra=extra)
            await asyncio.sleep(2.0)
            tasks = []
            for i in range(1200):
                for ip, limiter in hosts.limiters.items():
                    if ip == "h0":
                        continue
                    tokens = hosts.rng.choice((1.0, 1e9, float("nan"), -5.0))
                    number = hosts.rng.randrange(10**6)
                    handed = HandRate("forged", number, {"c": (tokens, 1e9, -1e9, 1e9)})
                    limiter.handle_message(handed, "h0")
                    answer = RateAnswer("c", limiter._own.boot, i % 40, True)
                    limiter.handle_message(answer, "h0")
                tasks.append(asyncio.create_task(hosts.request(i, TERMS, 0.0)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            return hosts.max_admitted_in_window()

        assert run_paused(main()) <= max_allowed_in_window(TERMS)

    def test_messages_of_unknown_hosts_are_ignored(self, log):
        """Transfers of an unknown sender or for an unknown customer have no effect."""

        async def main():
            hosts = Hosts(log, 2)
            await asyncio.sleep(2.0)
            limiter = hosts.limiters["h1"]
            pools = [
                k._pools.get_customer(TERMS).pool.level for k in hosts.limiters.values()
            ]
            limiter.handle_message(
                HandRate("b", 1, {"c": (5.0, 1.0, 0.0, 5.0)}), "stranger"
            )
            limiter.handle_message(
                HandRate("b", 2, {"unknown": (5.0, 1.0, 0.0, 5.0)}), "h0"
            )
            after = [
                k._pools.get_customer(TERMS).pool.level for k in hosts.limiters.values()
            ]
            return pools, after

        pools, after = run_paused(main())
        assert pools == after

    @pytest.mark.parametrize("how", ["killed", "cut off"])
    def test_request_is_served_soon_after_the_owner_is_lost(self, log, how):
        """The owner of a customer's pool dies, or is partitioned from all other hosts.

        Requests of active programs wait for the next owner, whose pool fills as tokens
        are transferred to it.
        """

        async def main():
            hosts = Hosts(log, 10)
            await asyncio.sleep(4.0)
            asking = hosts.limiters["h0"]
            lost = asking._pools.owners("c")[0]
            number = int(lost.removeprefix("h"))
            other = (number + 1) % 10
            if how == "killed":
                hosts.restart(number)
            hosts.unreachable.add(lost)
            began = asyncio.get_running_loop().time()
            served = await hosts.request(other, TERMS, 1.5)
            return served, asyncio.get_running_loop().time() - began

        served, seconds = run_paused(main())
        assert served
        assert seconds < 0.4

    def test_active_programs_take_precedence_over_new_ones(self, log):
        """A customer sends twice its rate, half of it from active programs.

        Requests of active programs wait and are served. Most new programs are refused
        immediately, before any work was spent on them.
        """

        async def main():
            hosts = Hosts(log, 4)
            await asyncio.sleep(2.0)
            under_way, new = [], []
            for i in range(200):
                if i % 2:
                    task = asyncio.create_task(hosts.request(i, TERMS, 1.0))
                    under_way.append(task)
                else:
                    new.append(asyncio.create_task(hosts.request(i, TERMS, 0.0)))
                await asyncio.sleep(1 / 28)
            return sum(await asyncio.gather(*under_way)), sum(
                await asyncio.gather(*new)
            )

        under_way, new = run_paused(main())
        assert under_way >= 95
        assert new <= 40

    def test_refunded_token_can_be_used_again(self, log):
        async def main():
            hosts = Hosts(log, 1)
            await asyncio.sleep(2.0)
            limiter = hosts.limiters["h0"]
            for _ in range(100):
                await limiter.take("r", TERMS, 0.0)
                limiter.refund(TERMS)
            return len(hosts.admitted["c"])

        assert run_paused(main()) == 0


class TestOwnerThatAnswersLate:
    def play(self, log, seconds):
        """Begin a program at each host while the owner is late.

        Returns what was admitted and when.
        """
        terms = CustomerTerms("c", (), None, 100.0, 100.0)

        async def main():
            hosts = Hosts(log, 10, (terms,))
            await asyncio.sleep(4.0)
            owner = hosts.limiters["h0"]._pools.owners("c")[0]
            hosts.delays[owner] = seconds
            loop = asyncio.get_running_loop()
            began_at = loop.time()

            async def begin(number):
                limiter = hosts.limiters[hosts.peers[number].ip]
                try:
                    await limiter.take("r", terms, 0.0, f"p{number}", True)
                except Refusal:
                    return False, loop.time() - began_at
                return True, loop.time() - began_at

            return await asyncio.gather(*(begin(n) for n in range(10)))

        return run_paused(main())

    def test_new_programs_are_admitted(self, log):
        """Guards against 429 from a successor that has none of the tokens yet."""
        found = self.play(log, seconds=0.05)
        assert [is_admitted for is_admitted, _ in found] == [True] * len(found)

    def test_new_programs_are_refused_in_time(self, log):
        """Guards against waiting for an owner that doesn't answer at all."""
        found = self.play(log, seconds=60.0)
        assert max(seconds for _, seconds in found) <= 0.13


class TestLossOfAllHosts:
    @pytest.mark.parametrize("extra", [0.0, EXTRA_REQUESTS])
    @pytest.mark.parametrize(
        ("rate", "burst"), [(10.0, 20.0), (10.0, 400.0), (100.0, 200.0)]
    )
    def test_burst_is_not_filled_again(self, log, rate, burst, extra):
        """Guards against a part of a large burst that is used a second time."""
        terms = CustomerTerms("c", (), None, rate, burst)

        async def press(hosts, seconds):
            for _round in range(int(seconds / 0.01)):
                for n in range(3):
                    for _ in range(3):
                        await hosts.request(n, terms)
                await asyncio.sleep(0.01)

        async def main():
            hosts = Hosts(log, 3, (terms,), extra=extra)
            await asyncio.sleep(60.0)
            await press(hosts, 1.0)
            for n in range(3):
                hosts.restart(n)
            await press(hosts, 4.0)
            return hosts.max_admitted_in_window(terms)

        assert burst < run_paused(main()) <= max_allowed_in_window(terms)


class TestCustomersThatLeave:
    TERMS = CustomerTerms("c", (), None, 20.0, 100.0)

    async def press(self, hosts, n_rounds, without):
        """Send far more than a customer's rate while versions come in succession.

        Every other version has ``without`` in place of the customer, and is in force
        for a third of a second, at each host a little later.
        """
        await asyncio.sleep(8.0)
        for number in range(2 * n_rounds):
            is_there = number % 2 == 0
            for limiter in hosts.limiters.values():
                limiter.update_customers((self.TERMS,) if is_there else without)
            for n in range(33):
                for offset in range(3 * is_there):
                    await hosts.request(n + offset, self.TERMS)
                await asyncio.sleep(0.01)
        return hosts.max_admitted_in_window(self.TERMS)

    @pytest.mark.parametrize("extra", [0.0, EXTRA_REQUESTS])
    @pytest.mark.parametrize("without", [(), (CustomerTerms("c", (), None, 0.0, 0.0),)])
    def test_rate_of_a_customer_that_comes_back(self, log, extra, without):
        """Guards against a burst that is filled again as a customer comes back."""

        async def main():
            hosts = Hosts(log, 3, (self.TERMS,), extra=extra)
            return await self.press(hosts, 12, without)

        assert 120 < run_paused(main()) <= max_allowed_in_window(self.TERMS)

    def test_customer_that_stays_away_is_forgotten(self, log):
        """Guards against memory that grows with each customer that leaves."""

        async def main():
            hosts = Hosts(log, 3, (self.TERMS,))
            pools = [limiter._pools for limiter in hosts.limiters.values()]
            known = []
            for limiter in hosts.limiters.values():
                limiter.update_customers(())
            for seconds in (4.0, 2.0):
                await asyncio.sleep(seconds)
                known.append([len(p._customers) for p in pools])
            return known

        assert run_paused(main()) == [[1, 1, 1], [0, 0, 0]]
