"""Starts a daemon on a machine of the print office."""

import asyncio
import logging
import os
import sys
from collections.abc import Callable

from swifttide_daemon.gateway import ConnectionPool, GatewaySettings
from swifttide_daemon.gateway._gateway import Gateway
from swifttide_daemon.gateway._run import run_gateway
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.platform import (
    CONFIG_KEY,
    CONFIG_TABLE,
    READY_PATH,
    SETTINGS_VARIABLE,
    TARGETS_TABLE,
    PrintOfficeDialect,
    PrintOfficeStore,
    SettingsError,
    decode_config,
    decode_target,
    emptied_zone,
    read_settings,
)
from swifttide_daemon.telemetry import EventLog, NonBlockingHandler

EXIT_BAD_SETTINGS = 2


def build(
    cfg: GatewaySettings, read: Callable[[], GatewaySettings], log: EventLog
) -> Gateway:
    """Put a gateway together for this platform.

    Parameters
    ----------
    cfg : GatewaySettings
    read : callable
        Returns the settings as they are now; raises `ValueError`.
    log : EventLog
    """
    pool = ConnectionPool()
    decoders = Decoders(
        CONFIG_TABLE,
        CONFIG_KEY,
        TARGETS_TABLE,
        decode_config,
        decode_target,
        emptied_zone,
        READY_PATH,
    )
    store = PrintOfficeStore(cfg.store_ip, cfg.store_port, pool)
    return Gateway(cfg, store, pool, PrintOfficeDialect(), decoders, read, log)


def main() -> None:
    """Read the machine's settings and serve until SIGTERM."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        cfg = read_settings(path)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    log = open_log(cfg.host, cfg.zone)
    asyncio.run(run_gateway(lambda: build(cfg, lambda: read_settings(path), log)))


def open_log(host: str, zone: str) -> EventLog:
    """Send the process's log to standard output."""
    handler = NonBlockingHandler.for_host(host, zone, sys.stdout.fileno())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    return EventLog(logging.getLogger("swifttide"))


if __name__ == "__main__":
    main()
