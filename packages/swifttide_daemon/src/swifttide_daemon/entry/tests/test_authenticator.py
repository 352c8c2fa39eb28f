"""Tests of the authentication of requests by their key."""

from hashlib import sha256
from types import SimpleNamespace

import pytest

from swifttide_core.documents import KeyGrant
from swifttide_daemon.entry import Authenticator
from swifttide_daemon.web import Request


def hashed(key):
    return sha256(key.encode()).hexdigest()


GRANTS = {
    hashed("customer"): KeyGrant(hashed("customer"), "club"),
    hashed("operator"): KeyGrant(hashed("operator"), operator=True),
}


def make_authenticator(stale=False):
    # Like ConfigService, `key` returns None for a key without a valid grant.
    config = SimpleNamespace(key=GRANTS.get, is_stale=lambda: stale)
    return Authenticator(config, (hashed("bootstrap"),))


@pytest.fixture
def authenticator():
    return make_authenticator()


def request(value):
    return Request("POST", "/", headers={"authorization": value} if value else {})


class TestAuthenticator:
    def test_customer_key_is_not_an_operator_key(self, authenticator):
        identity = authenticator.customer(request("Bearer customer")).ok
        assert identity.customer == "club"
        assert authenticator.operator(request("Bearer customer")).error.status == 403

    def test_stale_configuration_refuses_customer_keys(self):
        """Guards against withdrawn keys that stay valid in a zone that is cut off.

        Such a zone doesn't learn of keys that are withdrawn elsewhere, so it refuses
        all customer keys once its configuration is stale.
        """
        refused = make_authenticator(stale=True).customer(request("Bearer customer"))
        assert refused.error.verdict == "not_run"
        assert refused.error.retry_after_seconds > 0

    def test_stale_configuration_refuses_operator_keys(self):
        """Guards against an operator's key that is withdrawn and works in a zone that
        is cut off; keys of the host's settings work there.
        """
        stale = make_authenticator(stale=True)
        refused = stale.operator(request("Bearer operator")).error
        assert (refused.status, refused.verdict) == (503, "not_run")
        assert stale.operator(request("Bearer bootstrap")).is_ok()

    def test_stale_configuration_denies_no_key(self):
        """Guards against granted keys that a host without the configuration denies."""
        stale = make_authenticator(stale=True)
        assert stale.customer(request("Bearer granted elsewhere")).error.status == 503
        assert stale.operator(request("Bearer granted elsewhere")).error.status == 503
        assert stale.customer(request("")).error.status == 401

    @pytest.mark.parametrize("key", ["operator", "bootstrap"])
    def test_operator_key_is_not_a_customer_key(self, authenticator, key):
        assert authenticator.operator(request(f"Bearer {key}")).is_ok()
        assert authenticator.customer(request(f"Bearer {key}")).error.status == 401

    @pytest.mark.parametrize(
        "value",
        [
            "",
            "Bearer ",
            "Bearer none",
            "customer",
            "Basic customer",
            "bearer customer",
            f"Bearer {hashed('customer')}",
            f"Bearer {hashed('bootstrap')}",
            "Bearer \udcff",
        ],
    )
    def test_missing_or_unknown_key_is_refused(self, authenticator, value):
        """Guards, among others, against the use of a key's hash in place of the key.

        Rows and settings files contain hashes, which must not give access.
        """
        assert authenticator.customer(request(value)).error.status == 401
        assert authenticator.operator(request(value)).error.status == 401
        assert authenticator.refuse_unknown_key(request(value)).status == 401

    @pytest.mark.parametrize("key", ["customer", "operator", "bootstrap"])
    def test_granted_key_is_not_refused(self, authenticator, key):
        assert authenticator.refuse_unknown_key(request(f"Bearer {key}")) is None
