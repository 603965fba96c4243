"""Runs the experiments: ``python -m bench [--quick] [--only NAME]``.

Each figure is printed to standard output as one line of JSON as soon as it is
measured; a table of all figures follows on standard error. A full run also draws
plots and writes the lines to files beside them. The exit code is 1 if an experiment
could not be run; a missed target does not change it and is reported in ``holds``.
"""

import argparse
import os
import signal
import sys
import time
import traceback
from dataclasses import replace
from pathlib import Path

from bench.context import Context
from bench.control import measure_control
from bench.leaving import measure_leaving
from bench.legs import measure_hops, measure_legs
from bench.tables import format_table
from bench.tail import measure_tail

__all__ = ["EXPERIMENTS", "main"]

#: Experiments by name, in the order in which they run.
EXPERIMENTS = {
    "tail": measure_tail,
    "legs": measure_legs,
    "hops": measure_hops,
    "control": measure_control,
    "leaving": measure_leaving,
}

_FIGURES = Path("docs/figures")


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    add = parser.add_argument
    add("--quick", action="store_true", help="fewer repeats, no plots")
    add("--only", choices=EXPERIMENTS, action="append", help="run just this one")
    add("--seed", type=int, default=1)
    add("--figures", type=Path, help="directory of plots and lines")
    return parser


def main(arguments=None):
    """Run the experiments and return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    options = build_parser().parse_args(arguments)
    figures = options.figures
    if figures is None and not options.quick:
        figures = _FIGURES
    context = Context(options.seed, options.quick, figures)
    results = []
    n_failed = 0
    for name in options.only or EXPERIMENTS:
        experiment_results = _run_experiment(name, context)
        results.extend(experiment_results)
        n_failed += not experiment_results
    print(format_table(results), file=sys.stderr)
    return 1 if n_failed else 0


def _run_experiment(name, context):
    """Return the results; an empty list if the experiment could not be run."""
    started = time.monotonic()
    results = []
    try:
        for measured in EXPERIMENTS[name](context):
            result = _add_machine_conditions(measured)
            print(result.to_line(), flush=True)
            results.append(result)
    except Exception:
        traceback.print_exc()
        print(f"experiment {name} could not be run", file=sys.stderr)
        return []
    finally:
        elapsed = time.monotonic() - started
        print(f"{name}: {elapsed:.0f} s", file=sys.stderr)
    if context.figures:
        _write_lines(context.figures / f"{name}.jsonl", results)
    return results


def _add_machine_conditions(result):
    """Add the core count and load average, as the machine may be shared."""
    machine = {"n_cores": os.cpu_count(), "load_average": os.getloadavg()[0]}
    return replace(result, conditions=result.conditions | machine)


def _write_lines(path, results):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("".join(each.to_line() + "\n" for each in results))


if __name__ == "__main__":
    sys.exit(main())
