"""Plays seeds of the soak: ``python -m tests.soak --n_seeds 50``."""

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

from tests.soak.play import play

#: Seeds are drawn below this, so that they are easy to copy.
MAX_SEED = 1_000_000


def main(arguments=None):
    """Play the seeds; return 1 if any of them found something."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, help="play just this one")
    parser.add_argument("--n_seeds", type=int, default=1, help="fresh seeds to play")
    parser.add_argument("--seconds", type=float, default=15.0, help="time of faults")
    parser.add_argument("--directory", type=Path, help="keeps settings and logs")
    parser.add_argument("--tell", action="store_true", help="print each fault")
    options = parser.parse_args(arguments)
    seeds = [options.seed]
    if options.seed is None:
        seeds = random.Random(time.time_ns()).sample(range(MAX_SEED), options.n_seeds)
    base = options.directory or Path(tempfile.mkdtemp(prefix="heatherpick-soak-"))
    n_bad = 0
    for seed in seeds:
        directory = base / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        tell = print if options.tell else lambda line: None
        report = play(seed, options.seconds, directory, tell)
        n_bad += bool(report.findings)
        served = sum(n for (_, status), n in report.outcomes.items() if status == 200)
        total = sum(report.outcomes.values())
        print(
            f"seed {seed}: {report.n_faults} faults, {served} of {total} served, "
            f"{len(report.findings)} findings"
        )
        for finding in report.findings:
            print(f"  {finding}")
        sys.stdout.flush()
    print(f"{len(seeds)} seeds, {n_bad} with findings; logs in {base}")
    return int(n_bad > 0)


if __name__ == "__main__":
    sys.exit(main())
