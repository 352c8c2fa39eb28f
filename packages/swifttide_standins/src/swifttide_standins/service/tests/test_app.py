"""The plain service over HTTP."""

import pytest
import urllib3

from swifttide_standins.service import Effects, service_app
from swifttide_standins.web import running


@pytest.fixture
def call():
    with running(service_app(Effects())) as service, urllib3.PoolManager() as pool:
        yield lambda method, path, **kw: pool.request(
            method, service.url + path, timeout=5, retries=False, **kw
        )


def effects(call):
    return call("GET", "/counters").json()["effects"]


class TestCalls:
    def test_every_arrival_is_an_effect(self, call):
        """A courier is sent for twice. The service doesn't notice, so that a test
        can count what the callers would have paid for.
        """
        for _ in range(2):
            answer = call("POST", "/order/pay", headers={"Idempotency-Key": "k"})
        assert answer.json() == {"path": "order/pay", "effect": 2}
        assert effects(call) == {"k": 2}

    @pytest.mark.parametrize("mode", ["lost_answer", "cut_half"])
    def test_effect_without_an_answer(self, call, mode):
        call("POST", "/faults", json={"mode": mode, "count": 1})
        with pytest.raises(urllib3.exceptions.ProtocolError):
            call("POST", "/pay", headers={"Idempotency-Key": "k"})
        assert effects(call) == {"k": 1}

    def test_bad_fault(self, call):
        assert call("POST", "/faults", json={"mode": "crash_on"}).status == 400


class TestEffects:
    def test_journal_outlives_the_process(self, tmp_path):
        """The service dies right after an effect. Forgotten, the effect could
        happen a second time unseen.
        """
        journal = str(tmp_path / "effects")
        Effects(journal).add("k", "c", {})
        assert Effects(journal).report()["effects"] == {"k": 1}
