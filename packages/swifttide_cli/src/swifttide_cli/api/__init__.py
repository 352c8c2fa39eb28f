"""The operators' calls of a daemon."""

from swifttide_cli.api._change_row import ChangeRow
from swifttide_cli.api._host_row import HostRow
from swifttide_cli.api._operator_client import NO_VERSION, OperatorClient
from swifttide_cli.api._stored_document import StoredDocument

__all__ = ["NO_VERSION", "ChangeRow", "HostRow", "OperatorClient", "StoredDocument"]
