"""Choice of the hosts that keep the origin of a stream."""

from swifttide_core.resumption import keeper_candidates, rank_origin_keepers

HOSTS = [(f"10.0.{zone}.{n}", f"zone-{zone}") for zone in range(3) for n in range(4)]
ZONES = dict(HOSTS)


class TestRankOriginKeepers:
    def test_first_keepers_are_of_different_zones(self):
        """Guards against streams that are unknown after the loss of a zone."""
        for n in range(50):
            keepers = rank_origin_keepers(f"s{n}", HOSTS)
            assert len({ZONES[ip] for ip in keepers[:3]}) == 3
            assert sorted(keepers) == sorted(ip for ip, _ in HOSTS)

    def test_all_hosts_find_the_same_keepers(self):
        assert rank_origin_keepers("s", reversed(HOSTS)) == rank_origin_keepers(
            "s", HOSTS
        )

    def test_lost_host_moves_only_its_own_streams(self):
        """Guards against streams that are looked for at other hosts after a loss."""
        lost = HOSTS[0][0]
        for n in range(50):
            before = rank_origin_keepers(f"s{n}", HOSTS)
            after = rank_origin_keepers(f"s{n}", HOSTS[1:])
            assert set(before[:3]) - {lost} <= set(after[:3])

    def test_streams_are_spread(self):
        first = {rank_origin_keepers(f"s{n}", HOSTS)[0] for n in range(200)}
        assert len(first) == len(HOSTS)


class TestKeeperCandidates:
    def test_some_of_each_zone(self):
        chosen = keeper_candidates(HOSTS, 2)
        assert sorted(ZONES[ip] for ip in chosen) == [
            f"zone-{zone}" for zone in range(3) for _ in range(2)
        ]
        assert set(keeper_candidates(reversed(HOSTS), 2)) == set(chosen)

    def test_small_fleet(self):
        assert sorted(keeper_candidates(HOSTS, 9)) == sorted(ip for ip, _ in HOSTS)
