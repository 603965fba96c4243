"""Runs seeds of the soak test: ``python -m tests.soak --n_seeds 50``."""

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

from tests.soak.runner import run_seed

#: Upper bound of drawn seeds, so that they are short enough to copy by hand.
MAX_SEED = 1_000_000


def main(arguments=None):
    """Run the seeds; return 1 if any of them has findings, else 0."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument(
        "--n_seeds", type=int, default=1, help="number of random seeds to run"
    )
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of fault injection"
    )
    parser.add_argument(
        "--directory", type=Path, help="where settings and logs are kept"
    )
    parser.add_argument("--tell", action="store_true", help="print each injected fault")
    options = parser.parse_args(arguments)
    seeds = [options.seed]
    if options.seed is None:
        seeds = random.Random(time.time_ns()).sample(range(MAX_SEED), options.n_seeds)
    base = options.directory or Path(tempfile.mkdtemp(prefix="heatherpick-soak-"))
    n_failed_seeds = 0
    for seed in seeds:
        directory = base / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        log_line = print if options.tell else lambda line: None
        report = run_seed(seed, options.seconds, directory, log_line)
        n_failed_seeds += bool(report.findings)
        n_served = sum(n for (_, status), n in report.outcomes.items() if status == 200)
        n_total = sum(report.outcomes.values())
        print(
            f"seed {seed}: {report.n_faults} faults, {n_served} of {n_total} served, "
            f"{len(report.findings)} findings"
        )
        for finding in report.findings:
            print(f"  {finding}")
        sys.stdout.flush()
    print(f"{len(seeds)} seeds, {n_failed_seeds} with findings; logs in {base}")
    return int(n_failed_seeds > 0)


if __name__ == "__main__":
    sys.exit(main())
