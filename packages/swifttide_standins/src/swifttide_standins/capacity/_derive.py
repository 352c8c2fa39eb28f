"""From slopes to the size to design for: the arithmetic of docs/CAPACITY.md."""

from collections.abc import Mapping

from swifttide_standins.capacity._derived import Derived
from swifttide_standins.capacity._size import SECONDS_PER_DAY, Size

FURTHER_TURN = "a further chat turn, durable history, of 4 hosts"
TOKEN = "processor for a streamed token, of 4 hosts"
EDIT = "slowest of 4 edits in force at all hosts"
MEASURED_EDIT_HOSTS = 24
CACHED = (
    "platform reads of a program in an engine's cache, caller's history, of 4 hosts"
)


def derive(slopes: Mapping[str, float], size: Size) -> list[Derived]:
    """Return the figures of every role.

    Parameters
    ----------
    slopes : mapping of str to float
        Values by the names that the measurements give them.
    size : Size
        What to work out.
    """
    return [
        *_control(slopes, size),
        *_memory(slopes, size),
        *_data_path(slopes, size),
        *_platform(slopes, size),
        *_configuration(slopes, size),
    ]


def _idle(slopes: Mapping[str, float], name: str, size: Size) -> float:
    """Return an idle host's figure in a zone of full size.

    A slope below zero is noise: more hosts don't make a host cheaper.
    """
    base = slopes[f"{name} of an idle host, base"]
    slope = slopes[f"{name} of an idle host, for each further host of the zone"]
    return base + max(0.0, slope) * size.zone_hosts


def _targets_held(size: Size) -> float:
    return size.runners / size.daemons


def _control(slopes: Mapping[str, float], size: Size) -> list[Derived]:
    held = _targets_held(size)
    cpu = held * slopes["processor for a target held"]
    n_bytes = held * slopes["bytes on connections for a target held"]
    return [
        Derived(
            "every daemon",
            "processor without callers, targets held included",
            _idle(slopes, "processor", size) + cpu,
            "core",
            size.control_core,
        ),
        Derived(
            "every daemon",
            "bytes on all connections without callers",
            _idle(slopes, "bytes on all connections", size) + n_bytes,
            "B/s",
            size.control_bytes_per_second,
        ),
    ]


def _memory(slopes: Mapping[str, float], size: Size) -> list[Derived]:
    programs = size.programs / size.daemons
    parts = {
        "idle": _idle(slopes, "resident memory", size),
        "all customers and their keys": size.customers
        * slopes["resident memory for a customer with a key"],
        "targets held": _targets_held(size)
        * slopes["resident memory for a target held"],
        "programs held": programs * slopes["resident memory for a program"],
    }
    control = [
        Derived("every daemon", f"memory: {name}", value, "B")
        for name, value in parts.items()
    ]
    token = slopes["resident memory for a token of history after its turn"]
    # A program's history grows evenly, so that it is half of its longest on average.
    history = programs * size.history_tokens / 2 * token
    stream = slopes["resident memory for a stream under way"]
    return [
        *control,
        Derived(
            "every daemon",
            "memory for control, sum",
            sum(parts.values()),
            "B",
            size.control_bytes,
        ),
        Derived("program's holder", "memory: histories, half long", history, "B"),
        Derived("entry host, holder", "memory: streams", size.streams * stream, "B"),
    ]


def _data_path(slopes: Mapping[str, float], size: Size) -> list[Derived]:
    requests = size.requests_per_second / size.daemons
    tokens = size.tokens_per_second / size.daemons
    request_core = requests * slopes[f"processor for {FURTHER_TURN}"]
    token_core = tokens * slopes[TOKEN]
    return [
        Derived("entry host, holder", "streams under way", size.streams, "1"),
        Derived("entry host, holder", "processor for turns", request_core, "core"),
        Derived("entry host, holder", "processor for tokens", token_core, "core"),
        Derived(
            "entry host, holder",
            "processor for turns and tokens (one interpreter)",
            request_core + token_core,
            "core",
            1.0,
        ),
    ]


def _platform(slopes: Mapping[str, float], size: Size) -> list[Derived]:
    idle_reads = size.daemons * _idle(slopes, "platform reads", size)
    idle_writes = size.daemons * _idle(slopes, "platform writes", size)
    rate = size.requests_per_second
    reads = rate * max(0.0, slopes[f"platform reads for {FURTHER_TURN}"])
    writes = rate * slopes[f"platform writes for {FURTHER_TURN}"]
    edits = size.edits_per_day / SECONDS_PER_DAY * size.daemons
    edit_reads = edits * slopes["platform reads for an edit, for each host"]
    max_reads, max_writes = size.platform_reads, size.platform_writes
    cached = size.programs * slopes[CACHED]
    rows = (
        ("reads without callers", idle_reads, max_reads),
        ("reads for edits", edit_reads, max_reads),
        ("reads for turns", reads, max_reads),
        ("reads for programs in engines' caches", cached, max_reads),
        ("reads, sum", idle_reads + edit_reads + reads + cached, max_reads),
        ("writes without callers", idle_writes, max_writes),
        ("writes for durable turns", writes, max_writes),
        ("writes, sum", idle_writes + writes, max_writes),
    )
    return [Derived("platform", what, n, "1/s", limit) for what, n, limit in rows]


def _configuration(slopes: Mapping[str, float], size: Size) -> list[Derived]:
    measured = slopes[f"{EDIT}, {MEASURED_EDIT_HOSTS} hosts"]
    slope = max(0.0, slopes[f"{EDIT}, for each further host"])
    seconds = measured + slope * (size.daemons - MEASURED_EDIT_HOSTS)
    cycle = slopes["processor for a scrape of the metrics"]
    return [
        Derived(
            "configuration",
            "an edit in force everywhere",
            seconds,
            "s",
            size.edit_seconds,
        ),
        Derived("metrics", "processor for a scrape every 15 s", cycle / 15, "core"),
        Derived(
            "metrics",
            "bytes of a scrape every 15 s",
            slopes["bytes of a scrape of the metrics"] / 15,
            "B/s",
        ),
    ]
