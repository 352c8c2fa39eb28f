"""Authentication of requests by the key in their ``Authorization`` header.

The hash of the key is compared with the key grants of the configuration and with the
operator key hashes of the settings.
"""

import hmac
from dataclasses import dataclass
from hashlib import sha256

from expression import Error, Ok, Result

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.web import Request

BEARER = "Bearer "
STALE_RETRY_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Owner of the key that a request carries.

    Parameters
    ----------
    key_hash : str
        SHA-256 of the key; the key itself is not kept.
    customer : str
        Customer to whom the key was granted; empty for an operator.
    """

    key_hash: str
    customer: str


class Authenticator:
    """Finds the customer or operator to whom the key of a request was granted.

    Parameters
    ----------
    config : ConfigService
    operator_hashes : tuple of str
        Hashes of operator keys from the settings. They are valid independently of the
        configuration, so that the first operator key can be granted.
    """

    def __init__(self, config: ConfigService, operator_hashes: tuple[str, ...]) -> None:
        self.config = config
        self.operator_hashes = operator_hashes

    def refuse_unknown_key(self, req: Request) -> Refusal | None:
        """Return the refusal of a request without a granted key, or None."""
        customer = self.customer(req)
        return (
            customer.error
            if customer.is_error() and self.operator(req).is_error()
            else None
        )

    def customer(self, req: Request) -> Result[Identity, Refusal]:
        """Return the customer of a request's key.

        While the configuration of this host is stale, it can't tell which keys are
        valid: a known key may have been withdrawn elsewhere in the meantime, and an
        unknown one granted.
        """
        key_hash = _key_hash(req)
        if not key_hash:
            return Error(_unknown_key_refusal())
        if self.config.is_stale():
            return Error(_stale_configuration_refusal())
        grant = self.config.key(key_hash)
        if grant is None or not grant.customer:
            return Error(_unknown_key_refusal())
        return Ok(Identity(key_hash, grant.customer))

    def operator(self, req: Request) -> Result[Identity, Refusal]:
        """Return the identity of the operator whose key the request carries.

        Granted keys may have been withdrawn elsewhere, as those of customers. Keys of
        the host's settings are always known.
        """
        key_hash = _key_hash(req)
        if not key_hash:
            return Error(_unknown_key_refusal())
        if any(hmac.compare_digest(key_hash, known) for known in self.operator_hashes):
            return Ok(Identity(key_hash, ""))
        if self.config.is_stale():
            return Error(_stale_configuration_refusal())
        grant = self.config.key(key_hash)
        if grant is None:
            return Error(_unknown_key_refusal())
        if not grant.operator:
            return Error(Refusal(Reason.FORBIDDEN, "the key is not an operator key"))
        return Ok(Identity(key_hash, ""))


def _key_hash(req: Request) -> str:
    """Return the hash of the request's key, or an empty string.

    The duration of a lookup by hash depends on the hash alone, so it reveals nothing
    about the keys to an attacker.
    """
    value = req.header("authorization")
    if not value.startswith(BEARER) or len(value) <= len(BEARER):
        return ""
    key = value[len(BEARER) :].strip()
    return sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def _unknown_key_refusal() -> Refusal:
    return Refusal(
        Reason.UNAUTHENTICATED, "expected a granted key as 'Authorization: Bearer KEY'"
    )


def _stale_configuration_refusal() -> Refusal:
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "the configuration of this host is too old to tell which keys are still valid",
        retry_after_seconds=STALE_RETRY_SECONDS,
    )
