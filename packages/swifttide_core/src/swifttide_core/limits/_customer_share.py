"""Share of a customer's rate and burst in one zone, managed by the holder of its slot.

Each customer belongs to a slot, which one host of a zone holds at a time under a lease.
The holder has a token bucket per customer. It lends tokens to entry hosts, which
receive the requests, in small batches with a short lifetime.

Load pattern: requests of one customer arrive at any entry host of the zone, at several
times its rate, in bursts, or with less than one request per host and second. Meanwhile,
the holder may be paused beyond its lease, replaced, or its limits be edited.

A fixed division among the hosts would refuse most requests of a customer whose burst is
smaller than the number of hosts. An undivided bucket per host would admit the rate once
per host.

Lent tokens count against the burst until they are returned or expire, so that
``level + lent <= burst`` always holds. The requests admitted in a time window are at
most this sum at its start plus the refill, which is ``burst + rate * window``. A batch
expires with the lease of the holder. A new holder, which starts after that lease,
therefore finds none of the old holder's tokens in use. The measurements are in
docs/measurements-limits.md.
"""

import heapq
from dataclasses import replace

from swifttide_core.documents import Customer
from swifttide_core.limits._batch import Batch
from swifttide_core.limits._demand import SmoothedDemand
from swifttide_core.limits._pull import Pull
from swifttide_core.limits._rate_refused import RateRefused
from swifttide_core.limits._share_state import LentBatch, ShareState
from swifttide_core.limits._token_bucket import TOKEN_TOLERANCE, TokenBucket
from swifttide_core.limits._unavailable_zone import UnavailableZone
from swifttide_core.limits._zone_shares import FULL_FRACTION

MAX_BATCH_TTL_SECONDS = 1.0
"""Lifetime of a batch with less than a whole token, and maximum lifetime of any batch.
Tokens that an entry host loses are unusable for this time."""

SINGLE_TOKEN_TTL_SECONDS = 0.1
"""Lifetime of tokens for another zone's holder, and minimum lifetime of a token that is
spent on arrival, unless ``MAX_BLOCKED_REFILL_TOKENS`` requires less."""

MAX_BLOCKED_REFILL_TOKENS = 0.25
"""Maximum refill, in tokens, that one lent token may block during the minimum
lifetime."""

CLOCK_DRIFT_FACTOR = 1.01
"""Factor by which the holder extends the lifetime of a lent batch, since the clocks of
two hosts may drift apart by up to 1%."""

DEMAND_TIME_CONSTANT_SECONDS = 20.0
"""Time constant of the demand per zone that transfers of shares are based on."""

PULL_LEVEL_FRACTION = 0.75
"""Fill level, as a fraction of the maximum level, at or below which a zone asks other
zones for tokens."""

MIN_PULL_INTERVAL_SECONDS = 0.2
"""Minimum time between two rounds of pulls."""

MIN_TRANSFER_TOKENS = 1.0
"""Minimum number of tokens that are given to another zone. Smaller amounts would be
moved back and forth between zones."""


class _Loan:
    """Lent batch with its expiry time at the holder."""

    def __init__(self, batch, expires_at):
        self.batch = batch
        self.expires_at = expires_at


class CustomerShare:
    """Token bucket of one customer in one zone, lent out in small batches.

    Parameters
    ----------
    bucket : TokenBucket
        Bucket with the tokens that are not lent out.
    fraction : float
        Fraction of the customer's rate and burst.

    Notes
    -----
    The host that holds the customer's slot has the share, and drops it with the slot.
    """

    def __init__(self, bucket, fraction):
        self.bucket = bucket
        self.fraction = fraction
        self._loans = {}
        self._lent = 0.0
        self._expiries = []
        self._demand_by_zone = {}
        self._handed_over = False
        self._pending_pulls = {}
        self._next_pull_at = float("-inf")
        self._n_pulls = 0
        self._unavailable_zones = {}

    @classmethod
    def from_config(
        cls,
        customer: Customer,
        fraction: float,
        now: float,
        unserved_since: float | None = None,
    ) -> "CustomerShare":
        """Start a share at a takeover of the slot.

        Parameters
        ----------
        customer : Customer
            Rate and burst over all hosts.
        fraction : float
            Fraction of both for the zone, from the platform's ``shares`` row.
        now : float
            Monotonic seconds, after the claim was committed.
        unserved_since : float or None
            Time since which no other holder can have served the customer in this zone:
            the end of the former holder's lease, ``MAX_BATCH_TTL_SECONDS`` after a
            planned stop, since its lent batches may be in use until then, or ``-inf``
            if the row shows that there never was a holder. If None, nothing is known,
            and the share starts empty with a refill from ``MAX_BATCH_TTL_SECONDS``
            after now.

        Returns
        -------
        CustomerShare
            Share with the refill since ``unserved_since``.
        """
        rate = customer.rate_per_second * fraction
        burst = customer.burst * fraction
        bucket = TokenBucket.empty(rate, burst, now)
        since = (
            now + MAX_BATCH_TTL_SECONDS if unserved_since is None else unserved_since
        )
        if since > now:
            bucket.updated_at = since
        else:
            bucket.level = min(burst, rate * (now - since))
        return cls(bucket, fraction)

    @classmethod
    def from_handover(
        cls, customer: Customer, fraction: float, state: ShareState, now: float
    ) -> "CustomerShare":
        """Continue with the state of the former holder.

        Parameters
        ----------
        customer : Customer
            Rate and burst over all hosts.
        fraction : float
            Fraction of both for the zone.
        state : ShareState
            State from ``hand_over``, received by the one host that claimed the slot
            with the epoch that the former holder named. If it arrives late, it has too
            few tokens, never too many.
        now : float
            Monotonic seconds, after the claim was committed.
        """
        share = cls.from_config(customer, fraction, now, now)
        for lent in state.lent:
            share._record_loan(lent.entry_host, lent.batch, now + lent.seconds_left)
        share.bucket.level = min(state.level, share._room())
        return share

    @property
    def lent(self) -> float:
        """Tokens that entry hosts may still hold."""
        return self._lent

    def draw(
        self,
        now: float,
        entry_host: str,
        wanted: float,
        holder_lease_ends_at: float,
        *,
        draw_id: str,
        zone: str = "",
        partial: bool = False,
        spend_seconds: float = SINGLE_TOKEN_TTL_SECONDS,
        returned: tuple[Batch, ...] = (),
    ) -> Batch | RateRefused:
        """Lend tokens to an entry host.

        Parameters
        ----------
        now : float
            Monotonic seconds at the holder.
        entry_host : str
            Host and incarnation of the entry host that draws.
        wanted : float
            Tokens that the waiting request needs: one, or the missing fraction of one.
        holder_lease_ends_at : float
            End of this holder's lease, counted from the time before its renewal was
            sent.
        draw_id : str
            Id of the draw. A repeated id gets the same batch.
        zone : str
            This zone if the entry host belongs to it, for ``demand_per_second``. Empty
            for an entry host of another zone, whose holder may have failed.
        partial : bool
            Whether fewer tokens than wanted are accepted.
        spend_seconds : float
            Lifetime of a token, which the waiting request spends on arrival. The token
            counts as lent only for this time. If it counted for seconds, the spent
            tokens of many hosts would block the refill of a whole burst.
        returned : tuple of Batch
            Batches that the entry host no longer needs.

        Returns
        -------
        Batch or RateRefused
        """
        for batch in returned:
            self.return_batch(now, entry_host, batch)
        self._advance(now)
        if self._handed_over or now >= holder_lease_ends_at:
            return RateRefused(MAX_BATCH_TTL_SECONDS)
        known = self._loans.get((entry_host, draw_id))
        if known is not None:
            return known.batch
        if zone and not partial:
            self._record_demand(now, zone, 1.0)
        tokens = self._grantable_tokens(wanted, partial)
        if tokens <= TOKEN_TOLERANCE:
            return self._refuse(now)
        max_ttl = (
            MAX_BATCH_TTL_SECONDS if partial else self._single_token_ttl(spend_seconds)
        )
        ttl = min(max_ttl, holder_lease_ends_at - now)
        return self._lend(now, entry_host, Batch(draw_id, tokens, ttl))

    def next_pulls(
        self, now: float, holder: str, zones: tuple[str, ...]
    ) -> tuple[Pull, ...]:
        """Return the pulls to send to the holders of other zones.

        Call it after each draw and send each returned pull once. A full bucket loses
        its refill. Without pulls, a customer would be refused in one zone while its
        bucket overflows in another.

        Parameters
        ----------
        now : float
            Monotonic seconds. The lifetime of the answers is counted from this time.
        holder : str
            Name and incarnation of this host, used in draw ids.
        zones : tuple of str
            The other zones.

        Returns
        -------
        tuple of Pull
            Pulls to zones without a cached refusal: to all of them if no whole token is
            left here, otherwise to one, in rotation.
        """
        self._advance(now)
        level, room = self.bucket.level, self._room()
        if (
            now < self._next_pull_at
            or self.fraction >= FULL_FRACTION
            or level > PULL_LEVEL_FRACTION * room
        ):
            return ()
        self._drop_expired_refusals(now)
        asked = [zone for zone in zones if zone not in self._unavailable_zones]
        if not asked or self.bucket.burst <= 0.0:
            return ()
        if level >= 1.0:
            asked = [asked[self._n_pulls % len(asked)]]
        self._next_pull_at = now + MIN_PULL_INTERVAL_SECONDS
        self._pending_pulls = {}
        return tuple(self._create_pull(now, holder, zone) for zone in asked)

    def answer_pull(
        self,
        now: float,
        holder: str,
        pull: Pull,
        holder_lease_ends_at: float,
        *,
        zone: str = "",
    ) -> Batch | RateRefused:
        """Give another zone's holder the tokens that equalize both fill levels, if any.

        The tokens count as lent until the answer can no longer be accepted, so that a
        late answer cannot add tokens to a burst that was refilled here meanwhile.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        holder : str
            Host and incarnation of the asking holder.
        pull : Pull
            Pull of the asking holder.
        holder_lease_ends_at : float
            End of this holder's lease.
        zone : str
            Zone of the asking holder, for ``demand_per_second``.
        """
        self._advance(now)
        known = self._loans.get((holder, pull.draw_id))
        if known is not None:
            return known.batch
        empty_batch = Batch(pull.draw_id, 0.0, 0.0)
        if self._handed_over or now >= holder_lease_ends_at:
            return empty_batch
        level = self.bucket.level
        if level < 1.0:
            return self._own_refusal(now)
        total_burst = self.bucket.burst + pull.burst
        surplus = level - self.bucket.burst * (level + pull.level) / total_burst
        tokens = min(surplus, pull.room - pull.level)
        if tokens < MIN_TRANSFER_TOKENS:
            return empty_batch
        self._record_demand(now, zone, tokens)
        return self._lend(
            now, holder, Batch(pull.draw_id, tokens, SINGLE_TOKEN_TTL_SECONDS)
        )

    def settle_pull(
        self, now: float, draw_id: str, answer: Batch | RateRefused
    ) -> None:
        """Add the tokens of another zone's holder; ignore late or repeated answers.

        A refusal is cached and reported with refusals of this holder, so that an entry
        host does not ask every zone for a customer that exceeds its rate.
        """
        self._advance(now)
        pull = self._pending_pulls.pop(draw_id, None)
        if pull is None:
            return
        zone, sent_at = pull
        match answer:
            case Batch(_, tokens, ttl_seconds) if now < sent_at + ttl_seconds:
                level = min(self.bucket.level + tokens, self._room())
                self.bucket.level = level
            case RateRefused():
                self._unavailable_zones[zone] = UnavailableZone.from_refusal(
                    now, answer, MIN_PULL_INTERVAL_SECONDS
                )

    def return_batch(self, now: float, entry_host: str, batch: Batch) -> None:
        """Take back the unspent tokens of a batch; ignore a repeated return."""
        self._advance(now)
        loan = self._loans.pop((entry_host, batch.draw_id), None)
        if loan is None:
            return
        self._lent -= loan.batch.tokens
        unspent = min(max(0.0, batch.tokens), loan.batch.tokens)
        self.bucket.level = min(self.bucket.level + unspent, self._room())

    def set_limits(self, now: float, customer: Customer, fraction: float) -> None:
        """Apply edited limits, or another fraction, from now on."""
        self._advance(now)
        self.fraction = fraction
        self.bucket.rate = customer.rate_per_second * fraction
        self.bucket.burst = customer.burst * fraction
        self.bucket.level = min(self.bucket.level, self._room())

    def demand_per_second(self, now: float) -> dict[str, float]:
        """Return the recent demand in tokens per second, by zone.

        The demand of the own zone is counted from draws of its entry hosts, including
        refused ones; that of another zone from the tokens given to its holder.
        """
        return {zone: demand.rate(now) for zone, demand in self._demand_by_zone.items()}

    def hand_over(self, now: float) -> ShareState:
        """Stop lending, and return the state for the slot's next holder.

        Without it, a planned stop would cost each customer of the host its burst.
        """
        self._advance(now)
        self._handed_over = True
        lent = tuple(
            LentBatch(entry_host, loan.batch, loan.expires_at - now)
            for (entry_host, _), loan in self._loans.items()
        )
        return ShareState(self.bucket.level, lent)

    def fits_burst(self, now: float, burst: float) -> bool:
        """Return whether available and lent tokens together are at most ``burst``."""
        self._advance(now)
        return self.bucket.level + self._lent <= burst + TOKEN_TOLERANCE

    def _record_demand(self, now, zone, tokens):
        self._demand_by_zone.setdefault(
            zone, SmoothedDemand(now, DEMAND_TIME_CONSTANT_SECONDS)
        ).record(now, tokens)

    def _grantable_tokens(self, wanted, partial):
        level = self.bucket.level
        if level + TOKEN_TOLERANCE >= wanted:
            return wanted
        return level if partial else 0.0

    def _single_token_ttl(self, spend_seconds):
        """Return the lifetime of a token that is spent on arrival, in seconds.

        At a low rate, a long lifetime blocks little refill, and a token that arrives
        late is a large part of the burst.
        """
        min_ttl = SINGLE_TOKEN_TTL_SECONDS
        if self.bucket.rate > 0.0:
            min_ttl = min(min_ttl, MAX_BLOCKED_REFILL_TOKENS / self.bucket.rate)
        return min(max(spend_seconds, min_ttl), MAX_BATCH_TTL_SECONDS)

    def _lend(self, now, entry_host, batch):
        self.bucket.level = max(0.0, self.bucket.level - batch.tokens)
        self._record_loan(
            entry_host, batch, now + batch.ttl_seconds * CLOCK_DRIFT_FACTOR
        )
        return batch

    def _record_loan(self, entry_host, batch, expires_at):
        key = (entry_host, batch.draw_id)
        self._lent += batch.tokens
        self._loans[key] = _Loan(batch, expires_at)
        heapq.heappush(self._expiries, (expires_at, key))

    def _create_pull(self, now, holder, zone):
        self._n_pulls += 1
        draw_id = f"{holder}-pull-{self._n_pulls}"
        self._pending_pulls[draw_id] = (zone, now)
        return Pull(zone, draw_id, self.bucket.level, self.bucket.burst, self._room())

    def _refuse(self, now):
        self._drop_expired_refusals(now)
        others = {
            zone: empty.as_refusal(now)
            for zone, empty in self._unavailable_zones.items()
        }
        return replace(self._own_refusal(now), others=others)

    def _own_refusal(self, now):
        # There is no refill while the whole burst is lent. A wait computed only from
        # the rate would let the caller retry too early and be refused again.
        wait = self._seconds_until_room(now) + self.bucket.seconds_until(now)
        bucket = self.bucket
        return RateRefused(wait, bucket.level, bucket.rate, self.fraction)

    def _seconds_until_room(self, now):
        room = self._room()
        if room >= 1.0:
            return 0.0
        for expires_at, key in sorted(self._expiries):
            room += self._loans[key].batch.tokens if key in self._loans else 0.0
            if room >= 1.0:
                return max(0.0, expires_at - now)
        return 0.0

    def _drop_expired_refusals(self, now):
        self._unavailable_zones = {
            zone: empty
            for zone, empty in self._unavailable_zones.items()
            if empty.until > now
        }

    def _advance(self, now):
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiries)
            loan = self._loans.get(key)
            if loan is None or loan.expires_at != expires_at:
                continue
            self.bucket.refill(expires_at, self._room())
            # It is unknown whether the tokens were spent. If they were added to the
            # level, they could be spent twice and the burst be exceeded.
            del self._loans[key]
            self._lent -= loan.batch.tokens
        if not self._loans:
            self._lent = 0.0
        self.bucket.refill(now, self._room())

    def _room(self):
        return max(0.0, self.bucket.burst - self._lent)
