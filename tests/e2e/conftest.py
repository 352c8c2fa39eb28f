"""Fleets for end-to-end proofs."""

import pytest

from swifttide_standins.launcher import Launcher
from tests.e2e._world import World


@pytest.fixture
def start_world():
    """Return a function that starts a fleet, which ends with the test."""
    with Launcher() as launcher:
        yield lambda **plan: World(launcher, **plan)


@pytest.fixture(scope="module")
def start_shared_world():
    """Return a function that starts a fleet, which ends with the module's tests."""
    with Launcher() as launcher:
        yield lambda **plan: World(launcher, **plan)
