"""Storing a document from a file, whatever its kind."""

from dataclasses import dataclass
from typing import Annotated

import cappa
from expression import Result

from swifttide_cli.api import NO_VERSION
from swifttide_cli.commands._documents import put_document, read_document
from swifttide_cli.commands._options import Options
from swifttide_cli.commands._wait import WaitOptions
from swifttide_cli.output import Failure, Report
from swifttide_core.documents import DocumentKind


@dataclass(frozen=True)
class PutOptions(WaitOptions):
    """File to store and the version that was edited.

    Parameters
    ----------
    file : str
        The document, JSON with comments.
    base : int
        Version that was edited.
    """

    file: Annotated[str, cappa.Arg(help="The document, JSON with comments.")]
    base: Annotated[
        int,
        cappa.Arg(long="--base", value_name="VERSION", help="Version that you edited."),
    ] = NO_VERSION

    def put(self, kind: DocumentKind, options: Options) -> Result[Report, Failure]:
        """Check the file, store it and report the version."""
        return read_document(kind, self.file).bind(
            lambda document: options.client().bind(
                lambda c: put_document(c, kind, document, self.base, self)
            )
        )
