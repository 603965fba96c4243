"""What every experiment is given."""

import tempfile
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.fleet import SETTLE_SECONDS, Fleet
from bench.load import Loads
from bench.processes import MeasuredProcesses

__all__ = ["Context"]

_QUICK_SETTLE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Context:
    """How an experiment is to run.

    Parameters
    ----------
    seed : int
        Seed of loads and stand-ins.
    quick : bool
        Whether to repeat less and load less.
    figures : pathlib.Path or None
        Where plots go; None draws none.
    """

    seed: int
    quick: bool
    figures: Path | None

    @contextmanager
    def open_fleet(self, shape):
        """Give a `Fleet` and `Loads`; everything started is ended on leaving."""
        settle_s = _QUICK_SETTLE_SECONDS if self.quick else SETTLE_SECONDS
        with tempfile.TemporaryDirectory(prefix="heatherpick-bench-") as base:
            directory = Path(base)
            with MeasuredProcesses(directory) as processes:
                yield Fleet(processes, directory, shape, settle_s), Loads(directory)
