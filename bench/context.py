"""Settings and processes that every experiment receives."""

import tempfile
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.fleet import SETTLE_SECONDS, Fleet
from bench.load import LoadRunner
from bench.processes import MeasuredProcesses

__all__ = ["Context"]

_QUICK_SETTLE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Context:
    """Settings of an experiment.

    Parameters
    ----------
    seed : int
        Seed of loads and stand-ins.
    is_quick : bool
        Whether to run fewer repeats under less load.
    figures : pathlib.Path or None
        Directory for plots and result lines; None writes none.
    """

    seed: int
    is_quick: bool
    figures: Path | None

    @contextmanager
    def open_fleet(self, shape):
        """Yield a `Fleet` and a `LoadRunner`; the fleet's processes stop on exit."""
        settle_s = _QUICK_SETTLE_SECONDS if self.is_quick else SETTLE_SECONDS
        with tempfile.TemporaryDirectory(prefix="heatherpick-bench-") as base:
            directory = Path(base)
            with MeasuredProcesses(directory) as processes:
                yield (
                    Fleet(processes, directory, shape, settle_s),
                    LoadRunner(directory),
                )
