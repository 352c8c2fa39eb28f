"""Disable the lines that promises rest on, one at a time, and see proofs fail.

Each entry of ``tests/mutations.json`` names a file, a piece of it, what to put in its
place, and the tests that must then fail. The tree is copied to a scratch directory for
each; the working tree isn't touched. ``tools/try_mutations.py [ID...]`` tries all, or
those named, prints what was seen, and exits 1 when a mutation went unnoticed.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SKIPPED = shutil.ignore_patterns(".venv", ".git", "__pycache__", ".ruff_cache")
TIMEOUT_SECONDS = 600


@dataclass(frozen=True, slots=True)
class Mutation:
    """One disabled line and the tests that must notice.

    Parameters
    ----------
    id, promise : str
        Short name, and number of the promise in docs/proofs.md.
    file : str
        Path from the root.
    old, new : str
        Text that stands in the file exactly once, and its replacement.
    tests : tuple of str
        pytest arguments.
    also : tuple of (str, str, str)
        File, old and new text of a second line that keeps the promise by itself.
    """

    id: str
    promise: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...]
    also: tuple[tuple[str, str, str], ...] = ()


def read_mutations() -> list[Mutation]:
    """Return the entries of ``tests/mutations.json``."""
    raw = json.loads((ROOT / "tests/mutations.json").read_text(encoding="utf-8"))
    return [Mutation(**{**entry, "tests": tuple(entry["tests"])}) for entry in raw]


def mutate(tree: Path, mutation: Mutation) -> None:
    """Put the mutation into a copy of the tree; raise when its place isn't there."""
    own = (mutation.file, mutation.old, mutation.new)
    for file, old, new in (own, *mutation.also):
        path = tree / file
        text = path.read_text(encoding="utf-8")
        n_found = text.count(old)
        if n_found != 1:
            raise ValueError(f"got {n_found} places in {file}, expected 1")
        path.write_text(text.replace(old, new), encoding="utf-8")


def run_tests(tree: Path, tests: tuple[str, ...]) -> subprocess.CompletedProcess[str]:
    """Run tests of a copy with the copy's packages."""
    sources = [str(path) for path in tree.glob("packages/*/src")]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(sources)}
    command = [sys.executable, "-m", "pytest", "-x", "--tb=line", *tests]
    return subprocess.run(
        command,
        cwd=tree,
        env=env,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )


def seen(output: str) -> str:
    """Return the line of pytest's output that tells what failed."""
    lines = output.splitlines()
    telling = [line for line in lines if line.startswith("E  ") or "Error" in line]
    summary = [line for line in lines if " failed" in line or " passed" in line]
    return " | ".join([*telling[:1], *summary[-1:]])


def try_mutation(mutation: Mutation) -> bool:
    """Return whether the tests noticed the mutation, and print what was seen."""
    with tempfile.TemporaryDirectory(prefix="swifttide-mutation-") as scratch:
        tree = Path(scratch) / "tree"
        shutil.copytree(ROOT, tree, ignore=SKIPPED)
        try:
            mutate(tree, mutation)
        except ValueError as exc:
            print(f"{mutation.id} [{mutation.promise}] OUT OF DATE: {exc}")
            return False
        result = run_tests(tree, mutation.tests)
    noticed = result.returncode == 1
    word = "noticed" if noticed else f"UNNOTICED (exit {result.returncode})"
    print(f"{mutation.id} [{mutation.promise}] {word}: {seen(result.stdout)}")
    return noticed


def main() -> int:
    """Try the mutations named on the command line, or all."""
    wanted = set(sys.argv[1:])
    chosen = [m for m in read_mutations() if not wanted or m.id in wanted]
    results = [try_mutation(mutation) for mutation in chosen]
    print(f"{sum(results)} of {len(results)} mutations noticed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
