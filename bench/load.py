"""Open-loop load on nodes and the records of its requests.

`standins.caller` generates the load: requests arrive at planned times, and latency
is measured from the planned arrival. Each run has its own process, so that the
load generator's processor time is not attributed to a node.
"""

import json
import subprocess
import sys
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from demo.processes import wait_until
from standins.records import ANSWERED_OUTCOMES

__all__ = ["UNANSWERED_MS", "Load", "LoadRunner", "RequestRecords"]

_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
_MS_PER_S = 1000.0
_MAX_LATENCY_US = 600 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
#: Time allowed for a run to finish after its last arrival.
_GRACE_S = 60.0
#: Latency assigned to a request without an answer, in milliseconds.
UNANSWERED_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class Load:
    """Searches sent to a set of nodes.

    Parameters
    ----------
    rate : float
        Arrivals per second.
    seconds : float
        Duration of the arrivals, in seconds.
    seed : int
        Seed of arrivals and queries.
    services : tuple of str, default=("tail",)
        Services to search, equally often.
    timeout_ms : float, default=UNANSWERED_MS
        Time that a caller waits for an answer, in milliseconds.
    """

    rate: float
    seconds: float
    seed: int
    services: tuple[str, ...] = ("tail",)
    timeout_ms: float = UNANSWERED_MS


class LoadRunner:
    """Runs loads, sequentially or concurrently, each with a time limit.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for the request records.
    """

    def __init__(self, directory):
        self._directory = directory
        self._n_runs = 0

    def start(self, load, addresses):
        """Start a load on the nodes at ``addresses`` and return the `_LoadRun`."""
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
        return _LoadRun(process, records, load.seconds + _GRACE_S)

    def run(self, load, addresses):
        """Run a load to its end and return its `RequestRecords`."""
        with self.start(load, addresses) as run:
            return run.wait()


class _LoadRun:
    """A running load; the process is killed when the context exits."""

    def __init__(self, process, records, timeout_s):
        self._process = process
        self._records = records
        self._timeout_s = timeout_s

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def wait_for_first_record(self):
        """Wait until a request has ended; return its planned arrival as Unix time."""
        wait_until(self._read_lines, "the first answer")
        return json.loads(self._read_lines()[0])["scheduled"]

    def wait(self):
        """Wait until the load has ended and return the `RequestRecords`."""
        self._process.wait(self._timeout_s)
        return RequestRecords([json.loads(line) for line in self._read_lines()])

    def _read_lines(self):
        if not self._records.exists():
            return []
        lines = self._records.read_text().splitlines(keepends=True)
        return [line for line in lines if line.endswith("\n")]


class RequestRecords:
    """Records of the requests of one or more loads.

    Parameters
    ----------
    records : list of dict
        Records as `standins.records.Record` writes them.
    """

    def __init__(self, records=()):
        self.records = list(records)

    def __add__(self, other):
        return RequestRecords(self.records + other.records)

    def __len__(self):
        return len(self.records)

    @property
    def answered(self):
        """The `RequestRecords` of requests with a full or partial answer."""
        return self.select(_is_answered)

    @property
    def latencies_ms(self):
        """Latency of each request; `UNANSWERED_MS` for one without an answer."""
        return [_find_latency_ms(each) for each in self.records]

    def select(self, condition):
        """Return the `RequestRecords` for which ``condition`` holds."""
        return RequestRecords(filter(condition, self.records))

    def find_percentile(self, percentile):
        """Return a percentile of the latency in milliseconds, None without records."""
        if not self.records:
            return None
        histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        for latency_ms in self.latencies_ms:
            histogram.record_value(max(1, round(latency_ms * _US_PER_MS)))
        return histogram.get_value_at_percentile(percentile) / _US_PER_MS

    def count(self, condition):
        """Return the number of records for which ``condition`` holds."""
        return sum(map(bool, map(condition, self.records)))

    def find_share(self, condition):
        """Return the share of records for which ``condition`` holds, None if empty."""
        return self.count(condition) / len(self) if self.records else None


def _is_answered(record):
    return record["outcome"] in ANSWERED_OUTCOMES


def _find_latency_ms(record):
    if not _is_answered(record):
        return UNANSWERED_MS
    return (record["ended"] - record["scheduled"]) * _MS_PER_S
