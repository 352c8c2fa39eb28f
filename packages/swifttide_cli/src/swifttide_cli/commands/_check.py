"""``swifttide check``: a file, before it is used."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa
from expression import Result

from swifttide_cli.commands._documents import invalid_file, read_document
from swifttide_cli.commands._options import Options
from swifttide_cli.output import Failure, Report
from swifttide_core.documents import DocumentKind, document_name
from swifttide_daemon.settings import Settings

SETTINGS = "settings"


@cappa.command(
    name="check",
    help="Check a settings file, or a document, with the daemon's own code.",
    description="Reports every error at once. Sends nothing.",
)
@dataclass(frozen=True)
class Check:
    """Check a file.

    Parameters
    ----------
    file : str
        JSON with comments.
    kind : str
        What the file holds.
    """

    file: Annotated[str, cappa.Arg(help="JSON with comments.")]
    kind: Annotated[
        Literal["settings", "profile", "customer", "key", "target"],
        cappa.Arg(long="--kind", help="What the file holds."),
    ] = SETTINGS

    def __call__(self, options: Options) -> Result[Report, Failure]:
        """Run the command."""
        if self.kind == SETTINGS:
            return (
                Settings.from_file(self.file)
                .map(self._settings_report)
                .map_error(lambda found: invalid_file(self.file, found.errors))
            )
        kind = DocumentKind(self.kind)
        return read_document(kind, self.file).map(
            lambda document: self._report(document_name(kind, document))
        )

    def _settings_report(self, cfg: Settings) -> Report:
        notes = ()
        if not Path(cfg.deployment_secret_file).is_file():
            notes = (f"{cfg.deployment_secret_file} doesn't exist on this machine",)
        return self._report(cfg.host, notes)

    def _report(self, name: str, notes: tuple[str, ...] = ()) -> Report:
        return Report(
            data={"file": self.file, "kind": self.kind, "name": name, "valid": True},
            lines=(f"{self.file}: valid {self.kind} of {name}",),
            notes=notes,
        )
