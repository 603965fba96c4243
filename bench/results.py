"""Results of the experiments: one JSON line each."""

import json
import operator
from dataclasses import dataclass, field

__all__ = ["Bound", "Result"]

_COMPARISONS = {
    "<": operator.lt,
    "<=": operator.le,
    "=": operator.eq,
    ">=": operator.ge,
    ">": operator.gt,
}


@dataclass(frozen=True, slots=True)
class Bound:
    """Target that a value is compared with.

    Parameters
    ----------
    comparison : {"<", "<=", "=", ">=", ">"}
        How the value must compare with the limit.
    limit : float
        The limit, in the value's unit.

    Examples
    --------
    >>> str(Bound("<=", 210)), Bound("<=", 210).holds(200.0)
    ('<= 210', True)
    """

    comparison: str
    limit: float

    def __str__(self):
        return f"{self.comparison} {self.limit:g}"

    def holds(self, value):
        """Return whether ``value`` meets the bound; None never does."""
        return value is not None and _COMPARISONS[self.comparison](value, self.limit)


@dataclass(frozen=True, slots=True)
class Result:
    """One measured figure.

    Parameters
    ----------
    name : str
        Name by which documentation refers to the figure.
    value : float or None
        The figure; None if nothing could be measured.
    unit : str
        Unit of the figure and of the baselines.
    baseline : dict of str to float, default={}
        The same figure of each baseline, measured in the same run.
    bound : Bound, default=None
        Target, if there is one.
    seed : int, default=0
        Seed of loads and stand-ins.
    conditions : dict, default={}
        Sizes, loads and other conditions needed to interpret the figure.
    """

    name: str
    value: float | None
    unit: str
    baseline: dict = field(default_factory=dict)
    bound: Bound | None = None
    seed: int = 0
    conditions: dict = field(default_factory=dict)

    @property
    def holds(self):
        """Whether the target is met, None without a target."""
        return None if self.bound is None else self.bound.holds(self.value)

    def to_line(self):
        """Return the result as one line of JSON."""
        return json.dumps(
            {
                "name": self.name,
                "value": _round(self.value),
                "unit": self.unit,
                "baseline": {key: _round(each) for key, each in self.baseline.items()},
                "bound": None if self.bound is None else str(self.bound),
                "holds": self.holds,
                "seed": self.seed,
                "conditions": self.conditions,
            }
        )


def _round(value):
    return value if value is None else float(f"{value:.4g}")
