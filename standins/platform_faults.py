"""Faults that the platform's stand-in shows on demand."""

from dataclasses import dataclass, fields
from enum import Enum
from random import Random

__all__ = ["Effect", "Fault", "FaultKind", "FaultPlan", "Operation"]

_MS_PER_S = 1000.0


class FaultKind(Enum):
    """What a fault does to a call."""

    #: Answer 503; the call takes no effect.
    OUTAGE = "outage"
    #: Never answer; the call takes no effect.
    HANG = "hang"
    #: Take effect ``delay_ms`` late and answer.
    SLOW = "slow"
    #: Take effect at once and answer ``delay_ms`` late.
    SLOW_ANSWER = "slow_answer"
    #: Take effect and close the connection without an answer.
    LOSE_ANSWERS = "lose_answers"


class Operation(Enum):
    """The kinds of call that the platform counts."""

    GET = "get"
    PUT = "put"
    WATCH = "watch"
    VMS = "vms"


@dataclass(frozen=True, slots=True)
class Fault:
    """A standing order to harm some calls.

    Parameters
    ----------
    kind : FaultKind
        What happens to a call.
    prefix : str
        Only objects whose name starts with it; a watch counts by its prefix.
    operations : tuple of Operation
        Only these kinds of call; all of them if empty.
    n_next : int or None
        Number of calls to harm, or None for as long as the fault stands.
    delay_ms : float
        Delay of the two slow kinds.
    probability : float
        Share of the matching calls that are harmed.
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
            If a key or a value is unknown; the message names it.
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
        """Return the fault as a JSON object that `from_json` takes."""
        return {
            "kind": self.kind.value,
            "prefix": self.prefix,
            "operations": [each.value for each in self.operations],
            "n_next": self.n_next,
            "delay_ms": self.delay_ms,
            "probability": self.probability,
        }

    def matches(self, operation, name):
        """Return whether the fault concerns a call on the object ``name``."""
        if self.operations and operation not in self.operations:
            return False
        return name.startswith(self.prefix)


@dataclass(frozen=True, slots=True)
class Effect:
    """What the standing faults together do to one call; delays in seconds."""

    refused: bool = False
    hung: bool = False
    answer_lost: bool = False
    delay: float = 0.0
    answer_delay: float = 0.0


class FaultPlan:
    """The standing faults, drawn from a seeded generator.

    Parameters
    ----------
    seed : int
        Seed of the generator that decides faults with a probability.
    """

    def __init__(self, seed):
        self._random = Random(seed)
        self._standing = []

    def add(self, fault):
        """Add a `Fault` to those that stand."""
        self._standing.append([fault, fault.n_next])

    def clear(self):
        """Remove every fault."""
        self._standing = []

    def list_standing(self):
        """Return the faults that still stand, as JSON objects."""
        return [
            fault.to_json() | {"n_next": n_left} for fault, n_left in self._standing
        ]

    def draw(self, operation, name):
        """Return the `Effect` on one call and use up the faults that struck it."""
        struck = [
            each for each in self._standing if self._strikes(each, operation, name)
        ]
        self._standing = [each for each in self._standing if each[1] != 0]
        faults = [fault for fault, _ in struck]
        return _combine(faults)

    def _strikes(self, standing, operation, name):
        fault, n_left = standing
        if not fault.matches(operation, name):
            return False
        if fault.probability < 1.0 and self._random.random() >= fault.probability:
            return False
        if n_left is not None:
            standing[1] = n_left - 1
        return True


def _combine(faults):
    kinds = {each.kind for each in faults}
    return Effect(
        refused=FaultKind.OUTAGE in kinds,
        hung=FaultKind.HANG in kinds,
        answer_lost=FaultKind.LOSE_ANSWERS in kinds,
        delay=_sum_delays(faults, FaultKind.SLOW),
        answer_delay=_sum_delays(faults, FaultKind.SLOW_ANSWER),
    )


def _sum_delays(faults, kind):
    return sum(each.delay_ms for each in faults if each.kind is kind) / _MS_PER_S
