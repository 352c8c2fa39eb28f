"""Run the commands of the documentation and check its links.

A page whose commands no longer work is found by the newcomer who needs it. Each
``console`` block's lines that start with ``$ `` run as one shell script a page, in the
order of `PAGES`, against one running site; a page fails at its first command that does
not exit with 0. What is too long to run here, or runs as a check of its own, stands in
`RUN_ELSEWHERE`.
"""

import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGES = (
    "README.md",
    "docs/first-steps.md",
    "docs/callers.md",
    "docs/operators/settings.md",
    "docs/operators/profiles.md",
    "docs/operators/keys.md",
    "docs/operators/command.md",
    "docs/operators/traces.md",
    "docs/operators/metrics.md",
    "docs/operators/rolling-replacement.md",
    "docs/operators/platform-outage.md",
    "docs/operators/zone-cut-off.md",
    "docs/operators/crashing-request.md",
    "docs/operators/install.md",
    "docs/contributing.md",
)
"""In this order: the first steps make what later pages use."""

RUN_ELSEWHERE = {
    "make setup": "ran before this check",
    "source out/site.env": "this check sources the environment of its own site",
    "make test": "CI",
    "make lint": "part of make test",
    "make format": "changes files; lint checks the same",
    "make demo": "CI, and tests of the demo",
    "make site": "running while the other commands run",
    "make docs-check": "this check",
    "make capacity": "minutes; docs/CAPACITY.md gives its output",
    "make fuzz": "long, with fresh seeds; tests/fuzz runs short in CI",
    "make mutations": "long; docs/proofs.md gives its output",
}
SITE_SECONDS = 60.0
PAGE_SECONDS = 180.0

_BLOCK = re.compile(r"^```console\n(.*?)^```", re.DOTALL | re.MULTILINE)
_LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")


def commands_of(text: str) -> list[str]:
    """Return the commands of a page; a line that ends with a backslash goes on."""
    commands = []
    for block in _BLOCK.findall(text):
        lines = iter(block.splitlines())
        for line in lines:
            if not line.startswith("$ "):
                continue
            command = line[2:]
            while command.endswith("\\"):
                command = command[:-1] + next(lines).removeprefix("> ")
            commands.append(command)
    return commands


def broken_links(path: Path) -> list[str]:
    """Return the relative links of a page that lead nowhere."""
    found = []
    for link in _LINK.findall(path.read_text(encoding="utf-8")):
        target = link.partition("#")[0]
        if "://" in target or not target:
            continue
        if not (path.parent / target).exists():
            found.append(f"{path.relative_to(ROOT)}: no {target}")
    return found


def run_page(page: str, env: dict[str, str]) -> bool:
    """Run a page's commands and return whether all of them worked."""
    text = (ROOT / page).read_text(encoding="utf-8")
    commands = [c for c in commands_of(text) if c not in RUN_ELSEWHERE]
    if not commands:
        return True
    script = "\n".join(["set -eo pipefail", *commands])
    started = time.monotonic()
    done = subprocess.run(
        ["bash", "-x", "-c", script],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=PAGE_SECONDS,
    )
    seconds = time.monotonic() - started
    outcome = "ok" if done.returncode == 0 else f"exit {done.returncode}"
    print(f"{page}: {len(commands)} commands, {seconds:.1f} s, {outcome}", flush=True)
    if done.returncode:
        print(done.stdout[-2000:], done.stderr[-4000:], sep="\n")
    return done.returncode == 0


def site_environment(directory: Path, site: subprocess.Popen) -> dict[str, str]:
    """Wait for the site and return the environment that it wrote."""
    path = directory / "site.env"
    ends_at = time.monotonic() + SITE_SECONDS
    while not path.exists():
        if site.poll() is not None or time.monotonic() > ends_at:
            raise RuntimeError("the site didn't start")
        time.sleep(0.1)
    dump = ["bash", "-c", f"source {path} && env -0"]
    pairs = subprocess.run(dump, capture_output=True, text=True, check=True).stdout
    env = dict(p.split("=", 1) for p in pairs.split("\0") if "=" in p)
    env["PATH"] = f"{Path(sys.executable).parent}{os.pathsep}{env['PATH']}"
    env["WORK"] = str(directory)
    return env


def main() -> int:
    """Check all pages and return the exit status."""
    pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    errors = [error for path in pages for error in broken_links(path)]
    listed = {str(ROOT / page) for page in PAGES}
    for path in pages:
        has_commands = commands_of(path.read_text(encoding="utf-8"))
        if has_commands and str(path) not in listed:
            errors.append(f"{path.relative_to(ROOT)}: has commands and isn't in PAGES")
    print("\n".join(errors) or f"{len(pages)} pages, links ok", flush=True)
    with tempfile.TemporaryDirectory(prefix="swifttide-docs-") as name:
        directory = Path(name)
        argv = [sys.executable, "-m", "swifttide_standins.site"]
        site = subprocess.Popen([*argv, str(directory / "site.env")])
        try:
            env = site_environment(directory, site)
            failed = [page for page in PAGES if not run_page(page, env)]
        finally:
            site.send_signal(signal.SIGTERM)
            site.wait(30)
    return 1 if errors or failed else 0


if __name__ == "__main__":
    sys.exit(main())
