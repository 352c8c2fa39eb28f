"""What callers get under load and failure, on the clock of the measurements."""

import pytest
from benchmarks.limits.fleet import Fleet
from benchmarks.limits.loads import all_scenarios
from benchmarks.limits.oracle import ideal, largest_excess, limits_of

N_HOSTS = 10
SCENARIOS = {scenario.name: scenario for scenario in all_scenarios(N_HOSTS)}


def wrongful_percent(scenario, outcome):
    pairs = zip(ideal(scenario), outcome.admitted, strict=True)
    n_wrongful = sum(best and not admitted for best, admitted in pairs)
    return 100.0 * n_wrongful / len(scenario.arrivals)


class TestEveryLoad:
    @pytest.mark.parametrize("name", sorted(SCENARIOS))
    def test_nobody_gets_more_than_rate_and_burst(self, name):
        """Whatever the load and the failure, a customer that gets more than it pays
        for makes the others wait.
        """
        scenario = SCENARIOS[name]
        admitted_at = Fleet.play(scenario).admitted_at
        for customer in scenario.customers:
            times = admitted_at.get(customer.name, [])
            limits = limits_of(scenario, customer.name)
            assert largest_excess(times, limits) <= 1e-6, customer

    @pytest.mark.parametrize(
        "name",
        ["steady 0.9", "skewed zones", "shifting zones", "small 0.2/s"]
        + ["holder killed", "holder replaced", "edits"],
    )
    def test_few_are_refused_that_were_inside_their_rate(self, name):
        """A customer stays inside its rate, from all hosts, from one zone, or with
        a request every five seconds; a holder dies or is replaced. A wrong refusal
        loses a sale.
        """
        scenario = SCENARIOS[name]
        assert wrongful_percent(scenario, Fleet.play(scenario)) <= 0.5


class TestHotCustomer:
    def test_others_get_what_they_would_get_alone(self):
        """Two customers send five times their rate through the same hosts."""
        scenario = SCENARIOS["one hot 5x"]
        outcome = Fleet.play(scenario)
        best = ideal(scenario)
        results = zip(scenario.arrivals, best, outcome.admitted, strict=True)
        calm = [
            (can, got)
            for a, can, got in results
            if a.customer not in ("large0", "large3")
        ]
        n_wrongful = sum(can and not got for can, got in calm)
        assert n_wrongful <= 0.005 * len(calm)

    def test_it_gets_its_rate_in_sum(self):
        scenario = SCENARIOS["one hot 5x"]
        outcome = Fleet.play(scenario)
        assert sum(outcome.admitted) >= 0.995 * sum(ideal(scenario))


class TestCut:
    def test_cut_off_zone_serves_customers_that_have_a_share_there(self):
        """A zone is cut off for 20 s; customers with a burst of 40 and more have a
        share in it and go on from there.
        """
        scenario = SCENARIOS["cut 20 s"]
        outcome = Fleet.play(scenario)
        large = {c.name for c in scenario.customers if c.burst >= 40.0}
        got = [
            admitted
            for a, admitted in zip(scenario.arrivals, outcome.admitted, strict=True)
            if a.customer in large
        ]
        assert sum(got) >= 0.995 * len(got)
