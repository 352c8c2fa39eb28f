"""The operators' calls of a daemon."""

from swifttide_cli.api._change_row import ChangeRow
from swifttide_cli.api._host_row import HostRow
from swifttide_cli.api._operator_client import OperatorClient
from swifttide_cli.api._stored_document import StoredDocument

__all__ = ["ChangeRow", "HostRow", "OperatorClient", "StoredDocument"]
