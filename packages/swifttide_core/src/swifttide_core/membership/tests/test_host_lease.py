"""Tests of a host's own lease, and of its expiry as seen by monitoring hosts."""

from swifttide_core.membership import HostLease, LeaseMonitor, LeaseTimes

TIMES = LeaseTimes(lease_seconds=6, renew_seconds=2, drift_margin_seconds=1)


class TestHostLease:
    def test_lease_of_frozen_host_ends_before_others_may_depose_it(self):
        """Guards against two hosts that decide for the same slots.

        A host is frozen between sending a renewal and reading the answer. If the lease
        were counted from the answer, the host would continue after another host claimed
        its slots, and a customer would get twice its rate.
        """
        sent_at, read_at = 100.0, 160.0
        lease = HostLease.from_times(TIMES).with_renewal(sent_at, row_version=1)
        assert not lease.is_valid(read_at)

        watch = LeaseMonitor.from_times(TIMES)
        watch.observe(sent_at, "h0", 1)
        stops = lease.valid_until
        assert not watch.expired_leases(stops)
        assert not watch.expired_leases(stops + TIMES.drift_margin_seconds)
        assert watch.expired_leases(stops + 2 * TIMES.drift_margin_seconds) == {"h0": 1}

    def test_reordered_answers_do_not_shorten_lease(self):
        lease = HostLease.from_times(TIMES).with_renewal(10.0, 5).with_renewal(8.0, 4)
        assert lease.row_version == 5
        assert lease.is_valid(14.9)

    def test_lease_without_registration_is_invalid(self):
        lease = HostLease.from_times(TIMES).with_renewal(10.0, 5).without_registration()
        assert not lease.is_valid(10.0)


class TestLeaseMonitor:
    def test_renewed_lease_is_not_expired(self):
        watch = LeaseMonitor.from_times(TIMES)
        watch.observe(0.0, "h0", 1)
        watch.observe(6.5, "h0", 2)
        assert not watch.expired_leases(7.0)

    def test_leases_do_not_expire_right_after_platform_outage(self):
        """Guards against deposing all other hosts after an outage of the platform.

        No row changes during an outage that is longer than a lease. If the first host
        that reaches the platform again deposed the others, their programs would lose
        their places, and their turns in progress would be discarded.
        """
        watch = LeaseMonitor.from_times(TIMES)
        watch.observe(0.0, "h0", 1)
        watch.observe(60.0, "h0", 1)
        assert not watch.expired_leases(60.0)
        watch.observe(64.0, "h0", 1)
        assert watch.expired_leases(67.0) == {"h0": 1}
