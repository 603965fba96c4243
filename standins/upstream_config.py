"""What one stand-in upstream is like."""

from dataclasses import dataclass, field, fields

__all__ = ["UpstreamConfig", "read_served"]


def read_served(data):
    """Return the shards by index version from a JSON object such as {"7": [0, 1]}."""
    return {int(version): frozenset(shards) for version, shards in data.items()}


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """Everything that the stand-in of one upstream is told at its start.

    Parameters
    ----------
    name : str
        Name of the declared upstream.
    shard_set : str
        Name of its shard set.
    served : dict of int to frozenset of int
        Shards that it holds, by index version; several versions at once.
    port : int
        TCP port, 0 for a free one.
    n_slots : int
        Calls side by side that it bears while warm; it sheds more.
    n_cold_slots : int
        Calls side by side that it bears while cold; more make it fall over.
    n_connections : int
        Open connections.
    connect_ms : float
        Time to accept one connection.
    service_ms : float
        Median time of a call's own work.
    service_spread : float
        Spread of that time: standard deviation of its logarithm.
    leg_ms : float
        Time of each leg in a call.
    straggle_probability : float
        Share of calls that take ``straggle_factor`` times as long.
    straggle_factor : float
        See ``straggle_probability``.
    cold_factor : float
        How much longer calls take while it is cold.
    cold : bool
        Whether it starts cold.
    n_warm_up : int
        Successful calls that make it warm; 0 if calls do not matter.
    warm_up_ms : float
        Time that makes it warm; 0 if time does not matter. Without both it is
        warm at once.
    restart_ms : float
        Time that it is away after it fell over.
    load_lag_ms : float
        Age of the load that it reports.
    keeps_queries : bool
        Whether it remembers the text of every query that it starts.
    """

    name: str
    shard_set: str
    served: dict[int, frozenset[int]] = field(default_factory=dict)
    port: int = 0
    n_slots: int = 4
    n_cold_slots: int = 1
    n_connections: int = 60
    connect_ms: float = 0.0
    service_ms: float = 5.0
    service_spread: float = 0.3
    leg_ms: float = 0.1
    straggle_probability: float = 0.0
    straggle_factor: float = 20.0
    cold_factor: float = 1.0
    cold: bool = False
    n_warm_up: int = 0
    warm_up_ms: float = 0.0
    restart_ms: float = 500.0
    load_lag_ms: float = 2000.0
    keeps_queries: bool = False

    @classmethod
    def from_json(cls, data):
        """Build it from a JSON object, with ``served`` as `read_served` takes it.

        Raises
        ------
        ValueError
            If a key is unknown or missing; the message names it.
        """
        known = {each.name for each in fields(cls)}
        unknown = sorted(set(data) - known)
        if unknown:
            raise ValueError(f"unknown key {unknown[0]!r}; use one of {sorted(known)}")
        missing = sorted({"name", "shard_set", "served"} - set(data))
        if missing:
            raise ValueError(f"no key {missing[0]!r}; add it")
        return cls(**(data | {"served": read_served(data["served"])}))
