"""What commands return, and how it is printed."""

from swifttide_cli.output._failure import Failure
from swifttide_cli.output._printing import print_failure, print_report
from swifttide_cli.output._report import Report, Table

__all__ = ["Failure", "Report", "Table", "print_failure", "print_report"]
