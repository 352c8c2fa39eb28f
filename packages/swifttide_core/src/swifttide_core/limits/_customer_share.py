"""A customer's share of rate and burst in one zone, at the slot's holder.

Load pattern: one customer's requests arrive at any entry host of the zone, at
several times its rate, in bursts, or at less than one request per host and
second; the holder may be paused past its lease, replaced, or edited meanwhile.

Without it: a fixed split per host refuses most requests of a customer whose burst
is smaller than the number of hosts, and a bucket per host without a split admits
the rate once per host.

Grounds: tokens that are lent out count against the burst until they are given
back or have expired, so ``level + lent <= burst`` holds at every moment. What may
be admitted in a window is at most that sum at its start plus what comes in, which
is ``burst + rate * window``. A batch ends with the holder's lease, so that a new
holder, which starts after that lease, finds nothing of the old one's in use.
The figures below are measured in docs/measurements-limits.md.
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
"""Life of a part of a token; longest life of any. What an entry host loses is out
of use for so long."""

SINGLE_TOKEN_TTL_SECONDS = 0.1
"""Life of what another zone's holder gives, and of a token that is spent at once where
so long a life holds up little."""

MAX_BLOCKED_REFILL_TOKENS = 0.25
"""Tokens that may fail to come in while one is on its way to be spent."""

CLOCK_DRIFT_FACTOR = 1.01
"""How much longer the holder counts a batch as lent: the clocks of two hosts may
run apart by up to one part in a hundred."""

DEMAND_TIME_CONSTANT_SECONDS = 20.0
"""Time constant of the demand per zone from which shares are moved."""

PULL_LEVEL_FRACTION = 0.75
"""Part of its room below which a zone asks the others to level out."""

MIN_PULL_INTERVAL_SECONDS = 0.2
"""Least time between two such questions."""

MIN_TRANSFER_TOKENS = 1.0
"""Fewest tokens that are given: parts of a token would wander from zone to zone."""


class _Loan:
    """A batch that is lent out, and until when."""

    def __init__(self, batch, expires_at):
        self.batch = batch
        self.expires_at = expires_at


class CustomerShare:
    """Bucket of one customer in one zone, lent out in small batches.

    Parameters
    ----------
    bucket : TokenBucket
        Tokens that are not lent out.
    fraction : float
        Part of the customer's rate and burst.

    Notes
    -----
    The host that holds the customer's slot keeps it, and drops it with the slot.
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
        """Start a share at a takeover.

        Parameters
        ----------
        customer : Customer
            Rate and burst over all hosts.
        fraction : float
            Part of both that the zone has, from the platform's ``shares`` row.
        now : float
            Monotonic seconds, after the claim was committed.
        unserved_since : float or None
            Since when nobody can have served the customer in this zone: the end of
            the former holder's lease; ``MAX_BATCH_TTL_SECONDS`` after a planned stop,
            since what it has lent may be in use for so long; ``-inf`` where the row shows
            that there never was a holder. None when nothing is known: it starts
            empty, and with what comes in from ``MAX_BATCH_TTL_SECONDS`` after now.

        Returns
        -------
        CustomerShare
            With the tokens that came in since ``unserved_since``.
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
        """Go on where the former holder has stopped.

        Parameters
        ----------
        customer : Customer
            Rate and burst over all hosts.
        fraction : float
            Part of both that the zone has.
        state : ShareState
            From ``hand_over``, received by the one host that claimed the slot with
            the epoch that the former holder named. However late it comes, it
            holds too little, never too much.
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
            Host AND incarnation of the one that draws.
        wanted : float
            Tokens that the waiting request needs: one, or what is missing to one.
        holder_lease_ends_at : float
            End of the holder's own lease, counted from before its renewal was sent.
        draw_id : str
            The same id again gets the same batch.
        zone : str
            The own zone for an entry host of it, for ``asked_per_second``; empty
            for one of another zone, whose holder may be dead.
        partial : bool
            Whether less than that is of use.
        spend_seconds : float
            Life of a token, which the waiting request spends as soon as it has the
            answer. It counts as lent for no longer: counted for seconds, the tokens
            that many hosts have spent would hold up the refill of a whole burst.
        returned : tuple of Batch
            Batches that the entry host has done with.

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
        life = (
            MAX_BATCH_TTL_SECONDS if partial else self._single_token_ttl(spend_seconds)
        )
        ttl = min(life, holder_lease_ends_at - now)
        return self._lend(now, entry_host, Batch(draw_id, tokens, ttl))

    def next_pulls(
        self, now: float, holder: str, zones: tuple[str, ...]
    ) -> tuple[Pull, ...]:
        """Return the orders to ask other zones' holders for part of their level.

        Call it after each draw and send what it returns, once. A zone that is full
        loses what comes in there; without this a customer would be refused in one
        zone while its tokens ran over in another.

        Parameters
        ----------
        now : float
            Monotonic seconds, from which the answers' life counts.
        holder : str
            This host and incarnation, for the draw ids.
        zones : tuple of str
            The other zones.

        Returns
        -------
        tuple of Pull
            To one zone in turn; to all of which nothing is known when there is no
            whole token left here.
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
        """Give another zone's holder what makes both equally full; maybe nothing.

        The tokens count as lent until the answer can no longer be accepted, so that
        a late answer can't add to a burst that has come in here again.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        holder : str
            Host and incarnation that asks.
        pull : Pull
            Its question.
        holder_lease_ends_at : float
            End of the own lease.
        zone : str
            Of the one that asks, for ``asked_per_second``.
        """
        self._advance(now)
        known = self._loans.get((holder, pull.draw_id))
        if known is not None:
            return known.batch
        nothing = Batch(pull.draw_id, 0.0, 0.0)
        if self._handed_over or now >= holder_lease_ends_at:
            return nothing
        level = self.bucket.level
        if level < 1.0:
            return self._own_refusal(now)
        both_full = self.bucket.burst + pull.burst
        surplus = level - self.bucket.burst * (level + pull.level) / both_full
        tokens = min(surplus, pull.room - pull.level)
        if tokens < MIN_TRANSFER_TOKENS:
            return nothing
        self._record_demand(now, zone, tokens)
        return self._lend(
            now, holder, Batch(pull.draw_id, tokens, SINGLE_TOKEN_TTL_SECONDS)
        )

    def settle_pull(
        self, now: float, draw_id: str, answer: Batch | RateRefused
    ) -> None:
        """Take in what another zone's holder gave; late or twice, it adds nothing.

        A refusal is remembered, and passed on with refusals from here, so that an
        entry host needn't ask each zone for a customer that is beyond its rate.
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
        """Take back what is left of a batch; a second time changes nothing."""
        self._advance(now)
        loan = self._loans.pop((entry_host, batch.draw_id), None)
        if loan is None:
            return
        self._lent -= loan.batch.tokens
        rest = min(max(0.0, batch.tokens), loan.batch.tokens)
        self.bucket.level = min(self.bucket.level + rest, self._room())

    def set_limits(self, now: float, customer: Customer, fraction: float) -> None:
        """Put an edit, or another fraction, in force from now on."""
        self._advance(now)
        self.fraction = fraction
        self.bucket.rate = customer.rate_per_second * fraction
        self.bucket.burst = customer.burst * fraction
        self.bucket.level = min(self.bucket.level, self._room())

    def demand_per_second(self, now: float) -> dict[str, float]:
        """Return the tokens a second asked for of late, by zone.

        Of the own zone the entry hosts' draws, refused ones too; of another zone
        what its holder got to level out.
        """
        return {zone: demand.rate(now) for zone, demand in self._demand_by_zone.items()}

    def hand_over(self, now: float) -> ShareState:
        """Stop lending, and return what the slot's next holder needs to go on.

        A planned stop would otherwise cost each of the host's customers its burst.
        """
        self._advance(now)
        self._handed_over = True
        lent = tuple(
            LentBatch(entry_host, loan.batch, loan.expires_at - now)
            for (entry_host, _), loan in self._loans.items()
        )
        return ShareState(self.bucket.level, lent)

    def fits_burst(self, now: float, burst: float) -> bool:
        """Return whether no more than ``burst`` can be admitted at once."""
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
        """Return the life of a token that is spent as soon as it has arrived.

        At a low rate a long life holds up little, and a token that comes too late is
        a large part of the burst.
        """
        cheap = SINGLE_TOKEN_TTL_SECONDS
        if self.bucket.rate > 0.0:
            cheap = min(cheap, MAX_BLOCKED_REFILL_TOKENS / self.bucket.rate)
        return min(max(spend_seconds, cheap), MAX_BATCH_TTL_SECONDS)

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
        # While a whole burst is lent nothing comes in: told only of the rate, the
        # caller would come back too early and be refused again.
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
            # Whether they were spent is unknown: back in the level they could be
            # spent twice, seen as a customer above its burst.
            del self._loans[key]
            self._lent -= loan.batch.tokens
        if not self._loans:
            self._lent = 0.0
        self.bucket.refill(now, self._room())

    def _room(self):
        return max(0.0, self.bucket.burst - self._lent)
