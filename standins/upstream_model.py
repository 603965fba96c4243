"""Simulated state of an upstream: admission of calls, warm-up, crashes and load."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from standins.lagging_value import LaggingValue

__all__ = ["Admission", "AdmissionStatus", "Phase", "UpstreamModel"]

_MS_PER_S = 1000.0


class Phase(Enum):
    """Capacity of an upstream."""

    #: Runs as many calls as it has cold slots, and crashes when there are more.
    COLD = "cold"
    #: Runs as many calls as it has slots, and sheds any more.
    WARM = "warm"
    #: Has crashed, and is unavailable until it restarts, cold.
    DOWN = "down"


class AdmissionStatus(Enum):
    """Result of the admission of a new call."""

    STARTED = "started"
    SHED = "shed"
    #: The call exceeded the cold slots: the upstream crashed and lost all calls.
    FELL = "fell"
    #: The upstream is unavailable after a crash.
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Admission:
    """Result of `UpstreamModel.start_call`.

    Parameters
    ----------
    status : AdmissionStatus
        Whether the call has started.
    call_id : int
        Id of a call that has started.
    duration_s : float
        Time that its work takes, in seconds.
    """

    status: AdmissionStatus
    call_id: int = 0
    duration_s: float = 0.0


class UpstreamModel:
    """State of one upstream. Every method that depends on the time takes ``now``.

    Parameters
    ----------
    config : UpstreamConfig
        Configuration of the upstream.
    run_id : str
        Part of the instance id that distinguishes this process from earlier ones.
    seed : int
        Seed of the service times.
    now : float
        Time of the start, in seconds.

    Attributes
    ----------
    served : dict of int to frozenset of int
        Shards that it holds, by index version.
    straggle_probability, straggle_factor : float
        Probability that a call takes longer, and by what factor.
    counts : collections.Counter
        Counters and peaks by the names that they have in the state.
    order_runs : collections.Counter
        Number of runs of each order, by key.
    queries : set of str
        Recorded queries.
    load_override : float or None
        Load to report in place of the real one.
    """

    def __init__(self, config, run_id, seed, now):
        self.config = config
        self.served = dict(config.served)
        self.straggle_probability = config.straggle_probability
        self.straggle_factor = config.straggle_factor
        self.counts = Counter()
        self.order_runs = Counter()
        self.queries = set()
        self.load_override = None
        self._run_id = run_id
        self._random = Random(f"{seed}/{config.name}")
        self._load = LaggingValue(0.0, config.load_lag_ms / _MS_PER_S)
        self._running_ids = set()
        self._draining_since = None
        self._last_call_after_drain_s = None
        self._phase = Phase.WARM
        self._phase_since = now
        self._n_successes_since_cold = 0
        self._n_grace = 0
        if config.cold:
            self.turn_cold(now, n_grace=0)

    @property
    def instance(self):
        """Id of this start of the upstream; a crash changes it."""
        return f"{self.config.name}.{self._run_id}.{self.counts['n_falls']}"

    @property
    def is_draining(self):
        """Whether the upstream has announced that it leaves."""
        return self._draining_since is not None

    def read_phase(self, now):
        """Return the `Phase` at the time ``now``."""
        elapsed_ms = (now - self._phase_since) * _MS_PER_S
        if self._phase is Phase.DOWN and elapsed_ms >= self.config.restart_ms:
            self._phase_since += self.config.restart_ms / _MS_PER_S
            self._phase = Phase.COLD
            self._n_successes_since_cold = 0
            self._n_grace = 0
            elapsed_ms -= self.config.restart_ms
        if self._phase is Phase.COLD and self._is_warmed_up(elapsed_ms):
            self._phase = Phase.WARM
        return self._phase

    def start_call(self, now, n_legs):
        """Return the `Admission` of a call with ``n_legs`` legs, 0 for an order."""
        phase = self.read_phase(now)
        if phase is Phase.DOWN:
            self.counts["n_down"] += 1
            return Admission(AdmissionStatus.DOWN)
        self._count_call_after_drain(now)
        n_running = len(self._running_ids) + 1
        if self._should_shed(phase, n_running):
            self.counts["n_shed"] += 1
            return Admission(AdmissionStatus.SHED)
        self.counts["n_calls"] += 1
        self.counts["n_legs"] += n_legs
        self._update_peak("max_running", n_running)
        if phase is Phase.COLD:
            self._update_peak("max_running_cold", n_running)
            if n_running > self.config.n_cold_slots:
                self.counts["n_cold_overruns"] += 1
                self.crash(now)
                return Admission(AdmissionStatus.FELL)
        call_id = self.counts["n_calls"]
        self._running_ids.add(call_id)
        self._update_load(now)
        return Admission(
            AdmissionStatus.STARTED, call_id, self._draw_duration_s(n_legs)
        )

    def end_call(self, call_id, now):
        """Count a call as finished."""
        if call_id in self._running_ids:
            self._running_ids.remove(call_id)
            self._n_successes_since_cold += 1
            self.counts["n_finished"] += 1
            self._update_load(now)

    def cancel_call(self, call_id, now):
        """Count a call as cancelled, as its caller closed the connection."""
        if call_id in self._running_ids:
            self._running_ids.remove(call_id)
            self.counts["n_cancelled"] += 1
            self._update_load(now)

    def run_order(self, key):
        """Count one run of the order ``key`` and return its receipt."""
        self.order_runs[key] += 1
        return f"{self.config.name}/{self.order_runs.total()}"

    def record_queries(self, texts):
        """Record the texts of queries that start, if the configuration says so."""
        if self.config.keeps_queries:
            self.queries.update(texts)

    def crash(self, now):
        """Lose all running calls and become unavailable for the restart time."""
        self.counts["n_falls"] += 1
        self._running_ids.clear()
        self._phase = Phase.DOWN
        self._phase_since = now
        self._update_load(now)

    def turn_cold(self, now, n_grace):
        """Turn cold without a restart, keeping the running calls.

        Parameters
        ----------
        now : float
            The time, in seconds.
        n_grace : int
            Number of calls above the cold slots that it sheds before the next one
            makes it crash, since callers learn of the change only from its responses.
        """
        self._n_grace = n_grace
        self._phase = Phase.COLD
        self._phase_since = now
        self._n_successes_since_cold = 0

    def set_draining(self, is_draining, now):
        """Start or end the announcement that the upstream leaves."""
        self._draining_since = now if is_draining else None
        self._last_call_after_drain_s = None
        self.counts["n_calls_after_drain"] = 0

    def serves(self, version, shard):
        """Return whether the upstream holds the shard at that index version."""
        return shard in self.served.get(version, ())

    def read_load(self, now):
        """Return the load that the upstream reports, as a share of its slots.

        It is `load_override` if set, otherwise the load as it was ``load_lag_ms`` ago.
        """
        if self.load_override is not None:
            return self.load_override
        return self._load.read(now)

    def to_json(self, now):
        """Return the whole state as a JSON object."""
        names = (
            "n_calls n_legs n_finished n_cancelled n_shed n_cold_shed "
            "n_down n_falls n_cold_overruns max_running max_running_cold "
            "n_calls_after_drain"
        )
        return {name: self.counts[name] for name in names.split()} | {
            "instance": self.instance,
            "phase": self.read_phase(now).value,
            "n_running": len(self._running_ids),
            "draining": self.is_draining,
            "last_call_after_drain_s": self._last_call_after_drain_s,
            "orders": dict(self.order_runs),
            "served": {
                str(version): sorted(shards) for version, shards in self.served.items()
            },
        }

    def _should_shed(self, phase, n_running):
        if phase is Phase.WARM:
            return n_running > self.config.n_slots
        if n_running <= self.config.n_cold_slots or not self._n_grace:
            return False
        self._n_grace -= 1
        self.counts["n_cold_shed"] += 1
        return True

    def _is_warmed_up(self, elapsed_ms):
        config = self.config
        if not config.n_warm_up and not config.warm_up_ms:
            return True
        if config.n_warm_up and self._n_successes_since_cold >= config.n_warm_up:
            return True
        return bool(config.warm_up_ms) and elapsed_ms >= config.warm_up_ms

    def _draw_duration_s(self, n_legs):
        config = self.config
        call_ms = config.service_ms * self._random.lognormvariate(
            0, config.service_spread
        )
        total_ms = call_ms + config.leg_ms * n_legs
        if self._random.random() < self.straggle_probability:
            total_ms *= self.straggle_factor
        if self._phase is Phase.COLD:
            total_ms *= config.cold_factor
        return total_ms / _MS_PER_S

    def _count_call_after_drain(self, now):
        if self.is_draining:
            self.counts["n_calls_after_drain"] += 1
            self._last_call_after_drain_s = now - self._draining_since

    def _update_peak(self, name, value):
        self.counts[name] = max(self.counts[name], value)

    def _update_load(self, now):
        self._load.write(len(self._running_ids) / self.config.n_slots, now)
