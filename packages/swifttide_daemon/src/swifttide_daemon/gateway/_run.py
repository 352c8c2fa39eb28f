"""Runs a gateway as a process and handles its signals."""

import asyncio
import signal

from swifttide_daemon.gateway._gateway import Gateway


async def run_gateway(build) -> None:
    """Build a gateway within the event loop and run it until SIGTERM or SIGINT.

    SIGHUP reloads the settings.

    Parameters
    ----------
    build : callable
        Returns the `Gateway`.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway: Gateway = build()
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.run(stop)
