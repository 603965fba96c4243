"""Counters and latency histograms in the Prometheus text format."""

from hdrh.histogram import HdrHistogram

from heatherpick._core.effects import Count, Observe

__all__ = ["Metrics"]

#: Maximum number of counter series, and of histogram series. Once it is reached, new
#: labels are recorded under the label "other".
MAX_SERIES = 500
#: Maximum duration of a histogram, in microseconds; longer ones are clamped to it.
MAX_DURATION_US = 600_000_000
N_SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
METRIC_PREFIX = "heatherpick"
OVERFLOW_LABEL = "other"


class Metrics:
    """Registry of counters and histograms, whose memory is bounded by `MAX_SERIES`."""

    def __init__(self):
        self._counters = {}
        self._histograms = {}

    @property
    def effect_handlers(self):
        """Dict of effect type to the handler of that effect."""
        return {
            Count: lambda effect: self.count(effect.name, effect.label, effect.amount),
            Observe: lambda effect: self.observe(
                effect.name, effect.label, effect.value_ms
            ),
        }

    def count(self, name, label="", amount=1):
        """Increment a counter.

        Parameters
        ----------
        name : str
            Name of the counter.
        label : str, default=""
            Value of the series' label, such as a reason.
        amount : int, default=1
            Increment.
        """
        key = self._choose_key(self._counters, name, label)
        self._counters[key] = self._counters.get(key, 0) + amount

    def observe(self, name, label, value_ms):
        """Record a duration.

        Parameters
        ----------
        name : str
            Name of the histogram.
        label : str
            Value of the series' label, such as a reason.
        value_ms : float
            Duration in milliseconds.
        """
        key = self._choose_key(self._histograms, name, label)
        durations = self._histograms.get(key)
        if durations is None:
            durations = self._histograms[key] = _DurationHistogram()
        durations.add(value_ms)

    def format(self, gauges=()):
        """Return all series as Prometheus text.

        Parameters
        ----------
        gauges : iterable of (str, float)
            Names and current values of gauges to append.

        Returns
        -------
        str
        """
        lines = []
        self._format_counters(lines)
        self._format_histograms(lines)
        for name, value in gauges:
            lines.append(f"# TYPE {METRIC_PREFIX}_{name} gauge")
            lines.append(f"{METRIC_PREFIX}_{name} {value}")
        return "\n".join(lines) + "\n"

    def _choose_key(self, series, name, label):
        key = (name, label)
        if key in series or len(series) < MAX_SERIES:
            return key
        return (name, OVERFLOW_LABEL)

    def _format_counters(self, lines):
        previous = None
        for (name, label), value in sorted(self._counters.items()):
            full_name = f"{METRIC_PREFIX}_{_sanitise_name(name)}_total"
            if name != previous:
                lines.append(f"# TYPE {full_name} counter")
            previous = name
            lines.append(f"{full_name}{_format_labels(label)} {value}")

    def _format_histograms(self, lines):
        previous = None
        for (name, label), durations in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            full_name = f"{METRIC_PREFIX}_{_sanitise_name(name.removesuffix('_ms'))}_ms"
            if name != previous:
                lines.append(f"# TYPE {full_name} summary")
            previous = name
            for percentile, value_ms in durations.read_percentiles():
                labels = _format_labels(label, f'quantile="{percentile / 100:g}"')
                lines.append(f"{full_name}{labels} {value_ms:g}")
            labels = _format_labels(label)
            lines.append(f"{full_name}_sum{labels} {durations.total_ms:g}")
            lines.append(f"{full_name}_count{labels} {durations.n_values}")


class _DurationHistogram:
    """A histogram of durations, with their sum and count."""

    def __init__(self):
        self.total_ms = 0.0
        self.n_values = 0
        self._histogram = HdrHistogram(1, MAX_DURATION_US, N_SIGNIFICANT_DIGITS)

    def add(self, value_ms):
        """Record one duration in milliseconds."""
        value_us = int(value_ms * US_PER_MS)
        self._histogram.record_value(min(max(1, value_us), MAX_DURATION_US))
        self.total_ms += value_ms
        self.n_values += 1

    def read_percentiles(self):
        """Return pairs of a percentile and its duration in milliseconds."""
        values = self._histogram.get_percentile_to_value_dict(PERCENTILES)
        return [
            (percentile, values[percentile] / US_PER_MS) for percentile in PERCENTILES
        ]


def _sanitise_name(name):
    return "".join(char if char.isalnum() else "_" for char in name)


def _format_labels(label, extra=""):
    parts = []
    if label:
        escaped = label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
        parts.append(f'label="{escaped}"')
    if extra:
        parts.append(extra)
    return "{" + ",".join(parts) + "}" if parts else ""
