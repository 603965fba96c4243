"""Configuration of one stand-in upstream."""

from dataclasses import dataclass, field, fields

__all__ = ["UpstreamConfig", "parse_served"]


def parse_served(data):
    """Return the shards by index version from a JSON object such as {"7": [0, 1]}."""
    return {int(version): frozenset(shards) for version, shards in data.items()}


@dataclass(frozen=True, slots=True)
class UpstreamConfig:
    """Configuration with which the stand-in of one upstream starts.

    Parameters
    ----------
    name : str
        Name of the declared upstream.
    shard_set : str
        Name of its shard set.
    served : dict of int to frozenset of int
        Shards that it holds, by index version; it can hold several versions.
    port : int
        TCP port, 0 for a free one.
    n_slots : int
        Largest number of concurrent calls while warm; it sheds any more.
    n_cold_slots : int
        Largest number of concurrent calls while cold; any more make it crash.
    n_connections : int
        Largest number of open connections.
    connect_ms : float
        Time to accept one connection.
    service_ms : float
        Median service time of a call without its legs.
    service_spread : float
        Standard deviation of the logarithm of that time.
    leg_ms : float
        Additional service time of each leg in a call.
    straggle_probability : float
        Share of calls that take ``straggle_factor`` times as long.
    straggle_factor : float
        See ``straggle_probability``.
    cold_factor : float
        Factor by which calls take longer while it is cold.
    cold : bool
        Whether it starts cold.
    n_warm_up : int
        Number of successful calls after which it is warm, 0 for no such rule.
    warm_up_ms : float
        Time after which it is warm, 0 for no such rule. With both at 0 it is warm at
        once.
    restart_ms : float
        Time for which it is unavailable after a crash.
    load_lag_ms : float
        Age of the load that it reports.
    keeps_queries : bool
        Whether it records the text of every query that it starts.
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
        """Build a configuration from a JSON object; see `parse_served` for ``served``.

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
        return cls(**(data | {"served": parse_served(data["served"])}))
