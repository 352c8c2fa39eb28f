"""Both sides of the central scheduling of turns at one host."""

from collections.abc import Callable

from swifttide_core.scheduling import TurnScheduler
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.targets._order_messages import OrderAnswer, OrderMessage
from swifttide_daemon.gateway.targets._scheduler_client import SchedulerClient
from swifttide_daemon.gateway.targets._scheduler_server import SchedulerServer
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.telemetry import EventLog


class SchedulerEndpoint:
    """Passes messages between the client and server of this host and the others.

    Parameters
    ----------
    fleet : Fleet
    choice : KeeperChoice
    beliefs : Beliefs
    health : TargetHealth
    send : callable
        Sends a message to an IP address. The message may be lost.
    log : EventLog
    new_scheduler : callable
        See `SchedulerServer`.

    Attributes
    ----------
    client : SchedulerClient
        Requests admission and placement.
    server : SchedulerServer
        Answers for the services that this host schedules.
    """

    def __init__(
        self,
        fleet: Fleet,
        choice: KeeperChoice,
        beliefs: Beliefs,
        health: TargetHealth,
        send: Callable[[str, OrderMessage], None],
        log: EventLog,
        new_scheduler: Callable = TurnScheduler,
    ):
        self._own_ip = fleet.own.ip
        self._send = send
        self.client = SchedulerClient(fleet.own, choice, beliefs, self._deliver, log)
        self.server = SchedulerServer(
            fleet, choice, beliefs, health, self._deliver, log, new_scheduler
        )

    def handle_message(self, message: OrderMessage, sender: str) -> None:
        """Process a message of another host."""
        if isinstance(message, OrderAnswer):
            self.client.handle_answer(message, sender)
        else:
            self.server.handle_message(message, sender)

    def _deliver(self, ip, message):
        if ip == self._own_ip:
            self.handle_message(message, ip)
        else:
            self._send(ip, message)
