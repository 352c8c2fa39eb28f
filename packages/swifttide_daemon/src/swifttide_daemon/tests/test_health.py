"""Tests of the answers to status checks."""

from unittest.mock import Mock

import pytest

from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon._health import Health
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.entry import GateState

MAX_STALE_SECONDS = 60.0


@pytest.fixture
def config():
    return ConfigService(Mock(), 1.0, MAX_STALE_SECONDS)


@pytest.fixture
def health(config):
    membership = Mock()
    membership.has_holders.return_value = True
    gate = Mock(state=GateState.OPEN)
    return Health(gate, config, Mock(), membership, Mock(), Mock(), Mock())


class TestReady:
    def test_host_that_has_read_no_configuration_is_not_ready(self, health, config):
        """Guards against refusals by a host that started in an outage, and has read
        the hosts of its zone but not yet the configuration.
        """
        assert health.ready(Mock()).status == 503
        config.confirm_fresh(0, elapsed_seconds())
        assert health.ready(Mock()).status == 200

    def test_host_with_a_stale_configuration_is_not_ready(self, health, config):
        """Guards against callers that are sent to a host that refuses every key."""
        config.confirm_fresh(0, elapsed_seconds() - 2 * MAX_STALE_SECONDS)
        assert health.ready(Mock()).status == 503
