"""``python -m benchmarks``: table, JSON and, on request, plots or ablations."""

import argparse
from pathlib import Path

from benchmarks.ablations import format_ablations, run_ablations
from benchmarks.report import format_aims, format_table, write_json
from benchmarks.runner import all_jobs, run_jobs, with_worst_shares

OUT = Path("out")


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument("--plots", action="store_true", help="write PNG files")
    parser.add_argument("--ablations", action="store_true", help="run these instead")
    args = parser.parse_args()
    if args.ablations:
        print(format_ablations(run_ablations()))
        return
    outcomes = with_worst_shares(run_jobs(all_jobs()))
    print(format_table(outcomes))
    print(format_aims(outcomes))
    write_json(outcomes, OUT / "bench.json")
    if args.plots:
        from benchmarks.plots import write_plots

        write_plots(outcomes, OUT)


if __name__ == "__main__":
    main()
