"""Stand-ins of the print office's platform: its store and its runners."""

from swifttide_standins.print_office._cold_start import ColdStart
from swifttide_standins.print_office._free_ports import free_ports
from swifttide_standins.print_office._http_server import HttpServer, Reply, Request
from swifttide_standins.print_office._memory_rows import MemoryRows
from swifttide_standins.print_office._row_server import RowServer
from swifttide_standins.print_office._runner import Runner

__all__ = [
    "ColdStart",
    "HttpServer",
    "MemoryRows",
    "Reply",
    "Request",
    "RowServer",
    "Runner",
    "free_ports",
]
