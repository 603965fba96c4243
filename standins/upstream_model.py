"""What an upstream bears, sheds and breaks under, as pure state."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from random import Random

from standins.lagging import LaggingValue

__all__ = ["Phase", "Start", "UpstreamModel", "Verdict"]

_MS_PER_S = 1000.0


class Phase(Enum):
    """How much an upstream bears."""

    #: Bears its cold slots and falls over under more.
    COLD = "cold"
    #: Bears its slots and sheds more.
    WARM = "warm"
    #: Has fallen over and is away until it starts again, cold.
    DOWN = "down"


class Verdict(Enum):
    """What becomes of a call that arrives."""

    STARTED = "started"
    SHED = "shed"
    #: The call was one too many for a cold upstream: all of its work is lost.
    FELL = "fell"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Start:
    """Answer of `UpstreamModel.start_call`; ``seconds`` is the work's time."""

    verdict: Verdict
    call_id: int = 0
    seconds: float = 0.0


class UpstreamModel:
    """State of one upstream. Every method that needs the time takes ``now``.

    Parameters
    ----------
    config : UpstreamConfig
        What the upstream is like.
    run : str
        Part of the instance id that tells this process from earlier ones.
    seed : int
        Seed of the service times.
    now : float
        Time of the start, in seconds.
    """

    def __init__(self, config, run, seed, now):
        self.config = config
        self.served = dict(config.served)
        self.straggle_probability = config.straggle_probability
        self.straggle_factor = config.straggle_factor
        self.counts = Counter()
        self.orders = Counter()
        self.queries = set()
        self.fake_load = None
        self._run = run
        self._random = Random(f"{seed}/{config.name}")
        self._load = LaggingValue(0.0, config.load_lag_ms / _MS_PER_S)
        self._running = set()
        self._drained_at = None
        self._last_after_drain = None
        self._phase = Phase.WARM
        self._phase_since = now
        self._n_warm_successes = 0
        self._n_grace = 0
        if config.cold:
            self.turn_cold(now, n_grace=0)

    @property
    def instance(self):
        """Id of this start of the upstream."""
        return f"{self.config.name}.{self._run}.{self.counts['n_falls']}"

    @property
    def draining(self):
        """Whether the upstream has announced that it leaves."""
        return self._drained_at is not None

    def read_phase(self, now):
        """Return the `Phase` at the time ``now``."""
        elapsed_ms = (now - self._phase_since) * _MS_PER_S
        if self._phase is Phase.DOWN and elapsed_ms >= self.config.restart_ms:
            self._phase_since += self.config.restart_ms / _MS_PER_S
            self._phase = Phase.COLD
            self._n_warm_successes = 0
            self._n_grace = 0
            elapsed_ms -= self.config.restart_ms
        if self._phase is Phase.COLD and self._is_warmed_up(elapsed_ms):
            self._phase = Phase.WARM
        return self._phase

    def start_call(self, now, n_legs):
        """Return the `Start` of a call of ``n_legs`` legs, an order counting 0."""
        phase = self.read_phase(now)
        if phase is Phase.DOWN:
            self.counts["n_down"] += 1
            return Start(Verdict.DOWN)
        self._note_drained_call(now)
        n_running = len(self._running) + 1
        if self._sheds(phase, n_running):
            self.counts["n_shed"] += 1
            return Start(Verdict.SHED)
        self.counts["n_calls"] += 1
        self.counts["n_legs"] += n_legs
        self._note_peak("max_running", n_running)
        if phase is Phase.COLD:
            self._note_peak("max_running_cold", n_running)
            if n_running > self.config.n_cold_slots:
                self.counts["n_cold_overruns"] += 1
                self.fall(now)
                return Start(Verdict.FELL)
        call_id = self.counts["n_calls"]
        self._running.add(call_id)
        self._write_load(now)
        return Start(Verdict.STARTED, call_id, self._draw_seconds(n_legs))

    def end_call(self, call_id, now):
        """Count a call as finished."""
        if call_id in self._running:
            self._running.remove(call_id)
            self._n_warm_successes += 1
            self.counts["n_finished"] += 1
            self._write_load(now)

    def cancel_call(self, call_id, now):
        """Count a call as cancelled: its caller closed the connection."""
        if call_id in self._running:
            self._running.remove(call_id)
            self.counts["n_cancelled"] += 1
            self._write_load(now)

    def run_order(self, key):
        """Count one run of the order ``key`` and return its receipt."""
        self.orders[key] += 1
        return f"{self.config.name}/{self.orders.total()}"

    def note_queries(self, texts):
        """Remember the texts of queries that start, if it is configured to."""
        if self.config.keeps_queries:
            self.queries.update(texts)

    def fall(self, now):
        """Lose all work and go away for the restart time."""
        self.counts["n_falls"] += 1
        self._running.clear()
        self._phase = Phase.DOWN
        self._phase_since = now
        self._write_load(now)

    def turn_cold(self, now, n_grace):
        """Turn cold without a restart, keeping the work that runs.

        Parameters
        ----------
        now : float
            The time, in seconds.
        n_grace : int
            Calls above the cold slots that it sheds before one more makes it
            fall over, since only its answers tell callers of the change.
        """
        self._n_grace = n_grace
        self._phase = Phase.COLD
        self._phase_since = now
        self._n_warm_successes = 0

    def set_draining(self, draining, now):
        """Start or end the announcement that the upstream leaves."""
        self._drained_at = now if draining else None
        self._last_after_drain = None
        self.counts["n_calls_after_drain"] = 0

    def serves(self, version, shard):
        """Return whether the shard is here at that index version."""
        return shard in self.served.get(version, ())

    def read_load(self, now):
        """Return the load that the upstream reports, as share of its slots."""
        if self.fake_load is not None:
            return self.fake_load
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
            "n_running": len(self._running),
            "draining": self.draining,
            "last_call_after_drain_s": self._last_after_drain,
            "orders": dict(self.orders),
            "served": {
                str(version): sorted(shards) for version, shards in self.served.items()
            },
        }

    def _sheds(self, phase, n_running):
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
        if config.n_warm_up and self._n_warm_successes >= config.n_warm_up:
            return True
        return bool(config.warm_up_ms) and elapsed_ms >= config.warm_up_ms

    def _draw_seconds(self, n_legs):
        config = self.config
        own = config.service_ms * self._random.lognormvariate(0, config.service_spread)
        total = own + config.leg_ms * n_legs
        if self._random.random() < self.straggle_probability:
            total *= self.straggle_factor
        if self._phase is Phase.COLD:
            total *= config.cold_factor
        return total / _MS_PER_S

    def _note_drained_call(self, now):
        if self.draining:
            self.counts["n_calls_after_drain"] += 1
            self._last_after_drain = now - self._drained_at

    def _note_peak(self, name, value):
        self.counts[name] = max(self.counts[name], value)

    def _write_load(self, now):
        self._load.write(len(self._running) / self.config.n_slots, now)
