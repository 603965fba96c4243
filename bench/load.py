"""Open-loop load on nodes, and what became of it.

The load is that of `standins.caller`: arrivals at planned times, latency counted
from the planned arrival. Each run is a process of its own, so that the generator's
time does not count for any node.
"""

import json
import subprocess
import sys
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from demo.processes import wait_until
from standins.records import ANSWERED_OUTCOMES

__all__ = ["UNANSWERED_MS", "Answers", "Load", "Loads"]

_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
_MS_PER_S = 1000.0
_MAX_LATENCY_US = 600 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
#: Time that a run may take beyond its arrivals, in seconds.
_GRACE_S = 60.0
#: Latency that a request without an answer counts with, in milliseconds.
UNANSWERED_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Load:
    """Searches that arrive at some nodes.

    Parameters
    ----------
    rate : float
        Arrivals a second.
    seconds : float
        Time of arrivals.
    seed : int
        Seed of arrivals and queries.
    services : tuple of str, default=("tail",)
        Services that are asked, equally often.
    timeout_ms : float, default=UNANSWERED_MS
        Time that a caller waits.
    """

    rate: float
    seconds: float
    seed: int
    services: tuple[str, ...] = ("tail",)
    timeout_ms: float = UNANSWERED_MS


class Loads:
    """Runs loads one after another or side by side, bounded in time.

    Parameters
    ----------
    directory : pathlib.Path
        Where records go.
    """

    def __init__(self, directory):
        self._directory = directory
        self._n_runs = 0

    def start(self, load, addresses):
        """Admission a load on the nodes at ``addresses`` and return the `Run`."""
        self._n_runs += 1
        records = self._directory / f"load-{self._n_runs}.jsonl"
        command = [sys.executable, "-m", "standins.caller", "--records", records]
        for address in addresses:
            command += ["--node", address]
        for service in load.services:
            command += ["--search", f"{service}=index"]
        command += ["--rate", load.rate, "--seconds", load.seconds]
        command += ["--timeout-ms", load.timeout_ms, "--seed", load.seed]
        process = subprocess.Popen(
            [str(part) for part in command], stdout=subprocess.DEVNULL
        )
        return _Run(process, records, load.seconds + _GRACE_S)

    def run(self, load, addresses):
        """Run a load to its end and return its `Answers`."""
        with self.start(load, addresses) as run:
            return run.wait()


class _Run:
    def __init__(self, process, records, timeout):
        self._process = process
        self._records = records
        self._timeout = timeout

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def wait_for_first(self):
        """Wait until a request has ended; return its planned arrival, by the clock."""
        wait_until(self._read_lines, "the first answer")
        return json.loads(self._read_lines()[0])["scheduled"]

    def wait(self):
        """Wait for the end and return the `Answers`."""
        self._process.wait(self._timeout)
        return Answers([json.loads(line) for line in self._read_lines()])

    def _read_lines(self):
        if not self._records.exists():
            return []
        lines = self._records.read_text().splitlines(keepends=True)
        return [line for line in lines if line.endswith("\n")]


class Answers:
    """What became of the requests of one or more loads.

    Parameters
    ----------
    records : list of dict
        Records as `standins.records.Record` writes them.
    """

    def __init__(self, records=()):
        self.records = list(records)

    def __add__(self, other):
        return Answers(self.records + other.records)

    def __len__(self):
        return len(self.records)

    @property
    def given(self):
        """The answers among them, whole or partial, as `Answers`."""
        return self.select(_is_answered)

    @property
    def latencies_ms(self):
        """Latency of each request; `UNANSWERED_MS` for one without an answer."""
        return [_find_latency(each) for each in self.records]

    def select(self, condition):
        """Return the `Answers` whose records meet ``condition``."""
        return Answers(filter(condition, self.records))

    def find_percentile(self, percentile):
        """Return a percentile of the latency in milliseconds, None of nothing."""
        if not self.records:
            return None
        histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        for latency_ms in self.latencies_ms:
            histogram.record_value(max(1, round(latency_ms * _US_PER_MS)))
        return histogram.get_value_at_percentile(percentile) / _US_PER_MS

    def count(self, condition):
        """Return for how many records ``condition`` holds."""
        return sum(map(bool, map(condition, self.records)))

    def share(self, condition):
        """Return the share of records for which ``condition`` holds, or None."""
        return self.count(condition) / len(self) if self.records else None


def _is_answered(record):
    return record["outcome"] in ANSWERED_OUTCOMES


def _find_latency(record):
    if not _is_answered(record):
        return UNANSWERED_MS
    return (record["ended"] - record["scheduled"]) * _MS_PER_S
