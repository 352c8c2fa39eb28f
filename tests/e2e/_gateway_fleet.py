"""Gateway processes of the print office's platform on loopback addresses."""

import asyncio
import json
import os
import signal
import subprocess
import sys

from swifttide_standins.print_office import RowServer, free_ports

READY_SECONDS = 20.0
MAX_STARTING = 12
"""Hosts that start at the same time; more would hold up all else on the machine."""

SETTINGS = """
node_name = "{name}"
zone = "{zone}"
internal_ports = [{ports[2]}, {ports[2]}]
[listen]
frontend = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
[bounds]
grace_s = {grace_seconds}
[limits]
memory_mb = {memory_mb}
[platform]
address = "127.0.0.1:{store_port}"
"""


class GatewayFleet:
    """A store in this process and gateways in processes of their own.

    Parameters
    ----------
    directory : Path
        Gets settings and logs.
    n_hosts : int
    zones : tuple of str
    document : dict
        The operator's document.
    grace_seconds : int
        Time from SIGTERM until a process would be killed.
    memory_mb : int
        Memory of a host; 0 for no limit.

    Attributes
    ----------
    store_ports : dict of str to int
        Ports at which hosts reach the store; by default its own port.
    """

    def __init__(
        self, directory, n_hosts, zones, document, grace_seconds=4, memory_mb=0
    ):
        self.store = RowServer()
        self.document = document
        self._directory = directory
        self._limits = {"grace_seconds": grace_seconds, "memory_mb": memory_mb}
        self._ports = free_ports(3)
        # Another run beside this one has other addresses.
        subnet = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}"
        self.zones = {
            f"{subnet}.{n + 1}": zones[n % len(zones)] for n in range(n_hosts)
        }
        self.store_ports = {}
        self._processes = {}

    @property
    def hosts(self):
        """Addresses of all hosts."""
        return list(self.zones)

    async def start(self):
        await self.store.server.start()
        self.store.rows.put("op", "config", json.dumps(self.document).encode())
        for first in range(0, len(self.hosts), MAX_STARTING):
            await self._start_hosts(self.hosts[first : first + MAX_STARTING])

    async def _start_hosts(self, ips):
        for ip in ips:
            self.start_host(ip)
        async with asyncio.timeout(READY_SECONDS):
            for ip in ips:
                while not await self.is_ready(ip):
                    await asyncio.sleep(0.1)

    def start_host(self, ip):
        settings = self._directory / f"{ip}.toml"
        settings.write_text(
            SETTINGS.format(
                name=ip,
                zone=self.zones[ip],
                ip=ip,
                ports=self._ports,
                store_port=self.store_ports.get(ip, self.store.server.port),
                **self._limits,
            )
        )
        with (self._directory / f"{ip}.log").open("ab") as log:
            self._processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "swifttide_daemon.gateway_process"],
                env=os.environ | {"SWIFTTIDE_SETTINGS": str(settings)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_running(self, ip):
        return self._processes[ip].poll() is None

    def signal(self, ip, number):
        """Send a signal to a host's process if it runs; return the process."""
        process = self._processes[ip]
        if process.poll() is None:
            process.send_signal(number)
        return process

    async def is_ready(self, ip):
        """Whether a balancer would send callers to a host."""
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(ip, self._ports[1])
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def call_store(self):
        """Make a call to the store as a host does; return when it has answered."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.store.server.port
        )
        try:
            writer.write(b"GET /-/rows-get?table=op HTTP/1.1\r\nHost: x\r\n\r\n")
            await reader.readline()
        finally:
            writer.close()

    def caller_address(self, ip):
        """Where a host takes requests of callers."""
        return ip, self._ports[0]

    async def connect(self, ip):
        """Open a connection as a caller."""
        return await asyncio.open_connection(*self.caller_address(ip))

    async def stop(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self.store.server.stop()
