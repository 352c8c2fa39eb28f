"""Starts a daemon on a machine of the print office."""

import asyncio
import logging
import os
import sys

from swifttide_daemon.gateway import ConnectionPool, GatewaySettings
from swifttide_daemon.gateway._gateway import Decoders, Gateway
from swifttide_daemon.gateway._run import run_gateway
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
    read_settings,
)
from swifttide_daemon.telemetry import EventLog

EXIT_BAD_SETTINGS = 2


def build(cfg: GatewaySettings) -> Gateway:
    """Put a gateway together for this platform."""
    from swifttide_daemon.telemetry._json_formatter import JsonFormatter

    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(JsonFormatter(cfg.host, cfg.zone))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    pool = ConnectionPool()
    decoders = Decoders(
        CONFIG_TABLE,
        CONFIG_KEY,
        TARGETS_TABLE,
        decode_config,
        decode_target,
        READY_PATH,
    )
    return Gateway(
        cfg,
        PrintOfficeStore(cfg.store_ip, cfg.store_port, pool),
        pool,
        PrintOfficeDialect(),
        decoders,
        EventLog(logging.getLogger("swifttide")),
    )


def main() -> None:
    """Read the machine's settings and serve until SIGTERM."""
    try:
        cfg = read_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(run_gateway(lambda: build(cfg)))


if __name__ == "__main__":
    main()
