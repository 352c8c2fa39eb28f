"""Translates requests and results of the scheduler to messages, and back.

A message has to fit into one packet of 1,472 bytes, as a larger one is lost if any of
its fragments is. Therefore texts and lists are limited here.
"""

import xxhash

from swifttide_core.scheduling import (
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnResult,
    WorkClass,
)
from swifttide_daemon.gateway.targets._order_messages import (
    AskEntry,
    AskPlace,
    TurnLeft,
)

MAX_TEXT_BYTES = 48
"""Longest text that is sent as it is. Callers and operators choose texts of any length;
of a longer one the hash is sent."""

MAX_EXCLUDED_TARGETS = 8
MAX_CONNECTED_TARGETS = 16
MAX_LIST_CHARS = 320
"""Most targets of each list, and most characters of all their ids."""

MAX_TURN_SECONDS = 60.0
"""Longest time for which a turn is counted if no message reports its end."""

MAX_WAITED_SECONDS = 10.0
"""Longest waiting time that is believed; no host waits longer."""


def compose_ask(
    service: str, request: ProgramRequest | PlacementRequest, elapsed_seconds: float
) -> AskEntry | AskPlace:
    """Return the question for a request that was made ``elapsed_seconds`` ago."""
    id, work = request.id, request.work
    waited = round(request.waited_seconds + elapsed_seconds, 3)
    regions = None if request.regions is None else sorted(request.regions)
    customer, route = _shortened(work.customer), _shortened(work.route)
    if isinstance(request, ProgramRequest):
        return AskEntry(
            service,
            id.boot,
            id.number,
            request.program,
            _deadline(request.seconds_left, elapsed_seconds),
            regions,
            work.rank,
            customer,
            route,
            waited,
            round(work.weight, 3),
        )
    return AskPlace(
        service,
        id.boot,
        id.number,
        request.program,
        request.zone,
        _shortened(request.prompt_prefix),
        request.previous_target,
        round(request.remaining_seconds - elapsed_seconds, 3),
        _listed(request.excluded_targets, MAX_EXCLUDED_TARGETS),
        regions,
        _listed(request.connected_targets, MAX_CONNECTED_TARGETS),
        work.rank,
        customer,
        route,
        waited,
        _shortened(request.branch),
        request.prompt_tokens,
        request.prefix_tokens,
        round(request.n_events, 1),
        _deadline(request.program_seconds_left, elapsed_seconds),
        request.is_stream,
        round(work.weight, 3),
        request.software_version and _shortened(request.software_version),
    )


def request_of(
    ask: AskEntry | AskPlace, sender: str
) -> ProgramRequest | PlacementRequest:
    """Return the request that a question of the host ``sender`` contains."""
    id = TurnId(sender, ask.boot, ask.number)
    weight = ask.weight if ask.weight > 0.0 else 1.0
    work = WorkClass(max(0, ask.rank), ask.customer, ask.route, weight)
    waited = min(max(0.0, ask.waited), MAX_WAITED_SECONDS)
    regions = None if ask.regions is None else frozenset(ask.regions)
    if isinstance(ask, AskEntry):
        return ProgramRequest(
            id, ask.program, work, ask.seconds or None, waited, regions
        )
    return PlacementRequest(
        id,
        ask.program,
        ask.zone,
        work,
        ask.subject,
        ask.branch,
        ask.last,
        max(0, ask.prompt_tokens),
        max(0, ask.prefix_tokens),
        max(0.0, ask.n_events),
        min(ask.seconds, MAX_TURN_SECONDS),
        ask.program_seconds or None,
        waited,
        frozenset(ask.connected),
        frozenset(ask.without),
        regions,
        ask.is_stream,
        ask.software_version,
    )


def compose_turn_left(
    service: str, id: TurnId, target: str, result: TurnResult
) -> TurnLeft:
    """Return the report that a turn has left its target."""
    return TurnLeft(
        service,
        id.boot,
        id.number,
        target,
        _rounded_or_negative(result.first_seconds),
        result.is_complete,
        _rounded_or_negative(result.gap_seconds),
        result.n_events,
    )


def result_of(message: TurnLeft) -> TurnResult:
    """Return the result that a report contains."""
    return TurnResult(
        message.first_seconds if message.first_seconds >= 0.0 else None,
        message.gap_seconds if message.gap_seconds >= 0.0 else None,
        max(0, message.n_events),
        message.is_whole,
    )


def _deadline(seconds_left, elapsed_seconds) -> float:
    """Return the remaining time as sent, in which 0 means that there is no deadline."""
    if seconds_left is None:
        return 0.0
    return round(seconds_left - elapsed_seconds, 3) or -0.001


def _rounded_or_negative(seconds) -> float:
    return -1.0 if seconds is None else round(seconds, 4)


def _shortened(text) -> str:
    data = text.encode()
    return text if len(data) <= MAX_TEXT_BYTES else xxhash.xxh3_64_hexdigest(data)


def _listed(target_ids, max_items) -> list[str]:
    """Return the first ids in their order that fit into the list."""
    found, n_chars = [], 0
    for target_id in sorted(target_ids)[:max_items]:
        n_chars += len(target_id)
        if n_chars > MAX_LIST_CHARS:
            break
        found.append(target_id)
    return found
