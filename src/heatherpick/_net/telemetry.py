"""Log of JSON lines, and the counters that the metrics address serves."""

import os
import time

import orjson

__all__ = ["Counters", "LineLog"]

#: Sustained rate of log lines per second, and the size of a burst in lines.
LINES_PER_S = 100.0
BURST_LINES = 400.0
#: Upper bounds of the latency histogram's buckets, in milliseconds.
BUCKETS_MS = (5, 10, 20, 40, 60, 80, 100, 150, 200, 300, 500, 1000, 2000, 5000)
#: Start of the names of all metrics.
PREFIX = "heatherpick"


class LineLog:
    """Writes one JSON object per line, rate-limited and without blocking.

    Parameters
    ----------
    fd : int
        File descriptor that the lines are written to; it is made non-blocking.
    node : str
        Name of this node, a field of each line.
    """

    def __init__(self, fd, node):
        self._fd = fd
        self._node = node
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._n_dropped = 0
        os.set_blocking(fd, False)

    def report(self, message, **fields):
        """Write one line, or drop and count it when the rate limit is exceeded."""
        if not self._try_acquire_token():
            self._n_dropped += 1
            return
        line = {"time": round(time.time(), 3), "node": self._node, "message": message}
        line.update(fields)
        if self._n_dropped:
            line["lines_dropped_before"] = self._n_dropped
        try:
            os.write(self._fd, orjson.dumps(line, default=repr) + b"\n")
        except OSError:
            # A reader that has stopped or is slow must not delay requests. The next
            # line that is written states how many were dropped.
            self._n_dropped += 1
            return
        self._n_dropped = 0

    def _try_acquire_token(self):
        now = time.monotonic()
        n_tokens = self._tokens + (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, n_tokens)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Counters:
    """Counts outcomes and latencies of requests.

    The buckets are fixed because `hdrhistogram` takes 2 MB more, which the small VMs
    cannot spare.
    """

    def __init__(self):
        self._outcomes = {}
        self._buckets = {}
        self._counts = {}

    def count(self, name, amount=1):
        """Increase a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def record_request(self, route, outcome, elapsed_ms):
        """Count one finished request by route, outcome and latency."""
        key = (route, outcome)
        self._outcomes[key] = self._outcomes.get(key, 0) + 1
        buckets = self._buckets.get(route)
        if buckets is None:
            buckets = self._buckets[route] = [0] * (len(BUCKETS_MS) + 1)
        for index, bound_ms in enumerate(BUCKETS_MS):
            if elapsed_ms <= bound_ms:
                buckets[index] += 1
                return
        buckets[-1] += 1

    def format_metrics(self, gauges):
        """Return all metrics in the text format of Prometheus.

        Parameters
        ----------
        gauges : dict of str to float
            Current values to add to the counters.
        """
        lines = [f"{PREFIX}_{name} {value}" for name, value in sorted(gauges.items())]
        lines += [
            f"{PREFIX}_{name}_total {value}" for name, value in self._counts.items()
        ]
        lines += [
            f'{PREFIX}_requests_total{{route="{route}",outcome="{outcome}"}} {value}'
            for (route, outcome), value in self._outcomes.items()
        ]
        for route, buckets in self._buckets.items():
            n_cumulative = 0
            for bound_ms, n_values in zip((*BUCKETS_MS, "+Inf"), buckets, strict=True):
                n_cumulative += n_values
                lines.append(
                    f'{PREFIX}_request_ms_bucket{{route="{route}",le="{bound_ms}"}}'
                    f" {n_cumulative}"
                )
        return "\n".join(lines) + "\n"
