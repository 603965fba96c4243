"""Faults that can be injected into calls to the platform's stand-in."""

from dataclasses import dataclass, fields
from enum import Enum
from random import Random

__all__ = ["Effect", "Fault", "FaultKind", "FaultPlan", "Operation"]

_MS_PER_S = 1000.0


class FaultKind(Enum):
    """Effect of a fault on a call."""

    #: Respond 503; the call takes no effect.
    OUTAGE = "outage"
    #: Never respond; the call takes no effect.
    HANG = "hang"
    #: Take effect after ``delay_ms``, and respond then.
    SLOW = "slow"
    #: Take effect at once, and respond after ``delay_ms``.
    SLOW_ANSWER = "slow_answer"
    #: Take effect, and close the connection without a response.
    LOSE_ANSWERS = "lose_answers"


class Operation(Enum):
    """Kinds of calls to the platform."""

    GET = "get"
    PUT = "put"
    WATCH = "watch"
    VMS = "vms"


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and the calls that it affects.

    Parameters
    ----------
    kind : FaultKind
        Effect on a call.
    prefix : str
        Prefix of the names of the affected objects; a watch has its own prefix as
        its name.
    operations : tuple of Operation
        Affected kinds of calls; all of them if empty.
    n_next : int or None
        Number of calls to affect, or None for all until the fault is removed.
    delay_ms : float
        Delay of the two slow kinds.
    probability : float
        Share of the matching calls that are affected.
    """

    kind: FaultKind
    prefix: str = ""
    operations: tuple[Operation, ...] = ()
    n_next: int | None = None
    delay_ms: float = 0.0
    probability: float = 1.0

    @classmethod
    def from_json(cls, data):
        """Build a fault from a JSON object.

        Raises
        ------
        ValueError
            If ``kind`` is missing, or a key or a value is unknown; the message names
            it.
        """
        known = {each.name for each in fields(cls)}
        unknown = sorted(set(data) - known)
        if unknown:
            raise ValueError(f"unknown key {unknown[0]!r}; use one of {sorted(known)}")
        if "kind" not in data:
            raise ValueError(
                f"no kind; use one of {[each.value for each in FaultKind]}"
            )
        values = dict(data)
        values["kind"] = FaultKind(data["kind"])
        operations = data.get("operations", ())
        values["operations"] = tuple(Operation(each) for each in operations)
        return cls(**values)

    def to_json(self):
        """Return the fault as a JSON object that `from_json` accepts."""
        return {
            "kind": self.kind.value,
            "prefix": self.prefix,
            "operations": [each.value for each in self.operations],
            "n_next": self.n_next,
            "delay_ms": self.delay_ms,
            "probability": self.probability,
        }

    def matches(self, operation, name):
        """Return whether a call on the object ``name`` matches the fault."""
        if self.operations and operation not in self.operations:
            return False
        return name.startswith(self.prefix)


@dataclass(frozen=True, slots=True)
class Effect:
    """Combined effect of all active faults on one call; delays in seconds."""

    is_refused: bool = False
    is_hung: bool = False
    is_response_lost: bool = False
    delay_s: float = 0.0
    response_delay_s: float = 0.0


class FaultPlan:
    """The active faults, which remain until they are used up or cleared.

    Parameters
    ----------
    seed : int
        Seed of the generator that draws which calls a fault with a probability
        affects.
    """

    def __init__(self, seed):
        self._random = Random(seed)
        # Pairs of a fault and its number of calls still to affect, None for no limit.
        self._active = []

    def add(self, fault):
        """Activate a `Fault`."""
        self._active.append([fault, fault.n_next])

    def clear(self):
        """Remove every fault."""
        self._active = []

    def list_active(self):
        """Return the active faults as JSON objects, ``n_next`` as it remains."""
        return [
            fault.to_json() | {"n_next": n_remaining}
            for fault, n_remaining in self._active
        ]

    def draw_effect(self, operation, name):
        """Return the `Effect` on one call, and count the call for its faults."""
        applied = [
            each
            for each in self._active
            if self._consume_if_applied(each, operation, name)
        ]
        self._active = [each for each in self._active if each[1] != 0]
        faults = [fault for fault, _ in applied]
        return _combine(faults)

    def _consume_if_applied(self, active, operation, name):
        fault, n_remaining = active
        if not fault.matches(operation, name):
            return False
        if fault.probability < 1.0 and self._random.random() >= fault.probability:
            return False
        if n_remaining is not None:
            active[1] = n_remaining - 1
        return True


def _combine(faults):
    kinds = {each.kind for each in faults}
    return Effect(
        is_refused=FaultKind.OUTAGE in kinds,
        is_hung=FaultKind.HANG in kinds,
        is_response_lost=FaultKind.LOSE_ANSWERS in kinds,
        delay_s=_sum_delays_s(faults, FaultKind.SLOW),
        response_delay_s=_sum_delays_s(faults, FaultKind.SLOW_ANSWER),
    )


def _sum_delays_s(faults, kind):
    return sum(each.delay_ms for each in faults if each.kind is kind) / _MS_PER_S
