"""A host's belief in its own lease, against those who wait for its lapse."""

from swifttide_core.membership import HostLease, LeaseTimes, LeaseWatch

TIMES = LeaseTimes(lease_seconds=6, renew_seconds=2, drift_margin_seconds=1)


class TestHostLease:
    def test_frozen_holder_stops_before_a_taker_may_start(self):
        """A host is frozen between sending a renewal and reading its answer. Were the
        lease counted from the answer, it would go on deciding while another host
        already does, and a customer would get its rate twice.
        """
        sent_at, read_at = 100.0, 160.0
        lease = HostLease.from_times(TIMES).confirmed(sent_at, row_version=1)
        assert not lease.holds(read_at)

        watch = LeaseWatch.from_times(TIMES)
        watch.observe(sent_at, "h0", 1)
        stops = lease.good_until
        assert not watch.lapsed(stops)
        assert not watch.lapsed(stops + TIMES.drift_margin_seconds)
        assert watch.lapsed(stops + 2 * TIMES.drift_margin_seconds) == {"h0": 1}

    def test_reordered_answers_never_shorten(self):
        lease = HostLease.from_times(TIMES).confirmed(10.0, 5).confirmed(8.0, 4)
        assert lease.row_version == 5
        assert lease.holds(14.9)

    def test_lost_holds_nothing(self):
        lease = HostLease.from_times(TIMES).confirmed(10.0, 5).lost()
        assert not lease.holds(10.0)


class TestLeaseWatch:
    def test_renewed_host_is_not_lapsed(self):
        watch = LeaseWatch.from_times(TIMES)
        watch.observe(0.0, "h0", 1)
        watch.observe(6.5, "h0", 2)
        assert not watch.lapsed(7.0)

    def test_outage_is_not_everybodys_death(self):
        """The platform is down for longer than a lease, so that no row changes. The
        first host that sees it again would depose all others, whose programs would
        lose their place and whose turns under way would be thrown away.
        """
        watch = LeaseWatch.from_times(TIMES)
        watch.observe(0.0, "h0", 1)
        watch.observe(60.0, "h0", 1)
        assert not watch.lapsed(60.0)
        watch.observe(64.0, "h0", 1)
        assert watch.lapsed(67.0) == {"h0": 1}
