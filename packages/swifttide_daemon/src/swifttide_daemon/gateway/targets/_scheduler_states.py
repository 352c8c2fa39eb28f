"""State of schedulers at other hosts, received in case this host succeeds them."""

import msgspec

from swifttide_core.forwarding import TargetEntry
from swifttide_core.placement import SHARED_KEY
from swifttide_daemon.gateway.targets._order_messages import OrderState

MAX_PART_BYTES = 1_100
"""Size of the entries in one message, so that it fits into one packet."""

MAX_ROUTES = 256
"""Maximum number of routes of a service of which state is kept."""

MAX_SERVICES = 64
"""Maximum number of services of which state is kept."""


class ReceivedStates:
    """The newest state of each service's scheduler, merged from its parts."""

    def __init__(self):
        self._states: dict[str, dict[str, dict[str, list[float]]]] = {}

    def add(self, message: OrderState, targets: dict[str, TargetEntry]) -> None:
        """Merge a part; entries of targets that aren't in ``targets`` are ignored.

        The entry `SHARED_KEY`, which has the values of all targets together, is kept.
        """
        if message.service not in self._states and len(self._states) >= MAX_SERVICES:
            return
        state = self._states.setdefault(message.service, {"targets": {}, "routes": {}})
        state["targets"].update(
            (id, values)
            for id, values in message.part.get("targets", {}).items()
            if id in targets or id == SHARED_KEY
        )
        for name, values in message.part.get("routes", {}).items():
            if name in state["routes"] or len(state["routes"]) < MAX_ROUTES:
                state["routes"][name] = values

    def forget_target(self, target_id: str) -> None:
        """Remove the state of a target that has left."""
        for state in self._states.values():
            state["targets"].pop(target_id, None)

    def take(self, service: str) -> dict | None:
        """Remove and return the state of a service; None if none was received."""
        return self._states.pop(service, None)


def split_snapshot(service: str, snapshot: dict) -> list[OrderState]:
    """Return messages with all entries of a snapshot, each within one packet."""
    messages: list[OrderState] = []
    n_bytes = MAX_PART_BYTES
    for kind, entries in snapshot.items():
        for name, values in entries.items():
            # Significant digits, since the prefill time of a token is some 1e-5 s.
            rounded = [float(f"{value:.4g}") for value in values]
            size = len(msgspec.json.encode({name: rounded}))
            if n_bytes + size > MAX_PART_BYTES:
                messages.append(OrderState(service, {}))
                n_bytes = 0
            messages[-1].part.setdefault(kind, {})[name] = rounded
            n_bytes += size
    return messages
