"""Slow start of one upstream: its concurrency grows from the cold limit as it answers.

An upstream's own health and load reports lag and mislead, so they are not used.
"""

from typing import Protocol

from automat import TypeMachineBuilder

from heatherpick._core.latency import LatencyEstimate

__all__ = ["Ramp"]

#: Answers for each allowed slot before the next step up.
N_STEP_ANSWERS = 8

#: Shortest interval between two steps up, in seconds.
MIN_STEP_S = 0.25

#: Legs in one call to a cold upstream.
N_COLD_LEGS = 1

#: Consecutive calls without an answer after which an upstream is treated as cold, and
#: a cold one is backed off from.
MAX_FAILURES = 3

#: Consecutive slow calls after which an upstream is treated as cold.
MAX_SLOW_CALLS = 3

#: Multiple of the upper latency estimate from which a call counts as slow.
SLOW_FACTOR = 4.0

#: Samples of a call size before its estimate is trusted.
N_TRUSTED_SAMPLES = 20

#: Time without answers after which an upstream may have restarted unnoticed, in
#: seconds.
IDLE_S = 30.0

#: First and longest delay before an unresponsive upstream is tried again, in seconds.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class _Level:
    """Allowed slots and legs per call; changed only by the state machine's outputs."""

    def __init__(self, limit):
        self.limit = limit
        self.reset()

    def reset(self):
        self.n_slots = min(self.limit.n_cold_slots, self.limit.n_slots)
        self.n_legs_per_call = min(N_COLD_LEGS, self.limit.n_batch)

    def step_up(self):
        self.n_slots = min(self.n_slots + 1, self.limit.n_slots)
        self.n_legs_per_call = min(self.n_legs_per_call * 2, self.limit.n_batch)

    def halve(self):
        self.n_slots = max(self.n_slots // 2, 1)
        self.n_legs_per_call = max(self.n_legs_per_call // 2, 1)

    @property
    def is_at_limit(self):
        return (
            self.n_slots >= self.limit.n_slots
            and self.n_legs_per_call >= self.limit.n_batch
        )


class _Condition(Protocol):
    def grow(self) -> None:
        """Enough answers for a step up have arrived."""

    def reach_limit(self) -> None:
        """The declared limit is reached."""

    def reduce(self) -> None:
        """The upstream shed a call."""

    def turn_cold(self) -> None:
        """The upstream seems to have restarted."""

    def back_off(self) -> None:
        """A cold upstream does not answer at all."""

    def recover(self) -> None:
        """An unresponsive upstream has answered."""

    def name(self) -> str:
        """Return the condition's name."""


def _build_condition():
    builder = TypeMachineBuilder(_Condition, _Level)
    cold = builder.state("cold")
    ramping = builder.state("ramping")
    ready = builder.state("ready")
    backing_off = builder.state("backing off")

    def step_up(condition, level):
        level.step_up()

    def halve(condition, level):
        level.halve()

    def reset(condition, level):
        level.reset()

    for state in (cold, ramping):
        state.upon(_Condition.grow).to(ramping)(step_up)
        state.upon(_Condition.reach_limit).to(ready).returns(None)
    ready.upon(_Condition.grow).loop().returns(None)
    ready.upon(_Condition.reach_limit).loop().returns(None)
    cold.upon(_Condition.reduce).loop()(halve)
    ramping.upon(_Condition.reduce).loop()(halve)
    ready.upon(_Condition.reduce).to(ramping)(halve)
    cold.upon(_Condition.turn_cold).loop()(reset)
    ramping.upon(_Condition.turn_cold).to(cold)(reset)
    ready.upon(_Condition.turn_cold).to(cold)(reset)
    cold.upon(_Condition.back_off).to(backing_off).returns(None)
    # Only an answer ends the backing off.
    for method in (
        _Condition.grow,
        _Condition.reach_limit,
        _Condition.reduce,
        _Condition.turn_cold,
        _Condition.back_off,
    ):
        backing_off.upon(method).loop().returns(None)
    backing_off.upon(_Condition.recover).to(cold)(reset)
    for state in (cold, ramping, ready):
        state.upon(_Condition.recover).loop().returns(None)
    for state in (cold, ramping, ready, backing_off):
        state.upon(_Condition.name).loop().returns(state.name)
    return builder.build()


_CONDITION = _build_condition()


class Ramp:
    """Concurrency that one upstream is allowed, raised step by step by its answers.

    Parameters
    ----------
    limit : Limit
        Declared limits of the upstream, warm and cold.
    now : float
        Present time in seconds.

    Attributes
    ----------
    condition : str
        State of the ramp: "cold", "ramping", "ready" or "backing off".
    latency : LatencyEstimate
        Latency of the upstream's answers.
    """

    def __init__(self, limit, now):
        self._level = _Level(limit)
        self._condition = _CONDITION(self._level)
        self.condition = self._condition.name()
        self.latency = LatencyEstimate()
        self._latency_by_size = {}
        self._instance = ""
        self._instance_since = now
        self._last_answer_at = now
        self._last_step_at = now
        self._backoff_s = INITIAL_BACKOFF_S
        self._retry_at = now
        self._clear_counts()

    @classmethod
    def from_limit(cls, limit, now):
        """Return the ramp of an upstream without any history."""
        return cls(limit, now)

    @property
    def n_legs_per_call(self):
        """Legs that one call may carry now."""
        return self._level.n_legs_per_call

    def count_slots(self, now):
        """Return how many calls may run at once now if the owner has the full share."""
        if self.condition == "backing off":
            return 1 if now >= self._retry_at else 0
        if now - self._last_answer_at > IDLE_S and self.condition != "cold":
            self.turn_cold(now)
        return self._level.n_slots

    def set_limit(self, limit):
        """Apply a newly declared limit; if it differs, the ramp restarts cold."""
        if limit == self._level.limit:
            return
        self._level.limit = limit
        self._transition("turn_cold")
        self._clear_counts()

    def turn_cold(self, now):
        """Return to the cold limit and discard the latency estimates."""
        self._transition("turn_cold")
        self._clear_counts()
        self._last_step_at = now
        self.latency = LatencyEstimate()
        self._latency_by_size.clear()

    def is_new_instance(self, instance, started_at):
        """Return whether an answer's ``instance`` shows a restart of the upstream.

        ``started_at`` is the time at which its call was sent. A late answer to a call
        from before the last restart is no sign of another one.
        """
        if not instance or instance == self._instance:
            return False
        return bool(self._instance) and started_at >= self._instance_since

    def handle_answer(self, instance, started_at, elapsed_ms, n_legs, now):
        """Handle an answer of the upstream to a call of ``n_legs``.

        Parameters
        ----------
        instance : str
            Identifies the upstream's process; empty if it is not known.
        started_at : float
            Time at which the call was sent, in seconds.
        elapsed_ms : float
            Duration of the call.
        n_legs : int
            Legs in the call.
        now : float
            Present time in seconds.
        """
        is_new = self.is_new_instance(instance, started_at)
        self._last_answer_at = now
        self._n_failures = 0
        self._n_sheds = 0
        if is_new or not self._instance:
            self._instance = instance
            self._instance_since = now
        if self.condition == "backing off":
            self._recover(now)
            return
        if is_new or self._has_slowed_down(elapsed_ms, n_legs):
            self.turn_cold(now)
            return
        self._n_answers += 1
        self._grow_if_due(now)

    def handle_shed(self, now):
        """Handle a call that the upstream refused before it started any work."""
        self._n_answers = 0
        self._last_step_at = now
        if self._level.n_slots > 1 or self._level.n_legs_per_call > 1:
            self._transition("reduce")
            return
        self._n_sheds += 1
        if self._n_sheds >= MAX_FAILURES:
            self._back_off(now)

    def handle_failure(self, is_alive, now):
        """Handle a call that failed.

        ``is_alive`` is whether the upstream itself reported the failure.
        """
        self._n_answers = 0
        self._n_failures += 1
        if self.condition == "backing off":
            if is_alive:
                self._recover(now)
            else:
                self._back_off(now)
            return
        if self._n_failures < MAX_FAILURES:
            return
        if self.condition != "cold":
            self.turn_cold(now)
        elif not is_alive:
            self._back_off(now)

    def _clear_counts(self):
        self._n_answers = 0
        self._n_failures = 0
        self._n_sheds = 0
        self._n_slow = 0

    def _transition(self, name):
        getattr(self._condition, name)()
        self.condition = self._condition.name()

    def _recover(self, now):
        self._transition("recover")
        self._clear_counts()
        self._backoff_s = INITIAL_BACKOFF_S
        self._last_step_at = now

    def _back_off(self, now):
        if self.condition != "backing off":
            self._transition("turn_cold")
            self._transition("back_off")
        self._retry_at = now + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _grow_if_due(self, now):
        if self.condition == "ready":
            return
        if self._n_answers < N_STEP_ANSWERS * self._level.n_slots:
            return
        if now - self._last_step_at < MIN_STEP_S:
            return
        self._n_answers = 0
        self._last_step_at = now
        self._transition("grow")
        if self._level.is_at_limit:
            self._transition("reach_limit")

    def _has_slowed_down(self, elapsed_ms, n_legs):
        """Add a latency; return whether the last calls were all slow for their size."""
        self.latency.add(elapsed_ms)
        # A larger call takes longer, so calls are compared with those of similar size.
        estimate = self._latency_by_size.setdefault(
            n_legs.bit_length(), LatencyEstimate()
        )
        is_slow = (
            estimate.n_samples >= N_TRUSTED_SAMPLES
            and elapsed_ms > SLOW_FACTOR * estimate.upper_ms
        )
        estimate.add(elapsed_ms)
        self._n_slow = self._n_slow + 1 if is_slow else 0
        return self._n_slow >= MAX_SLOW_CALLS
