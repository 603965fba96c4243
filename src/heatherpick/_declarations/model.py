"""The objects that operators declare, and the checked set that holds them."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

__all__ = [
    "DataCentre",
    "Deadline",
    "DeclarationSet",
    "Drains",
    "Limit",
    "Region",
    "Service",
    "ShardSet",
    "Snapshot",
    "Upstream",
    "UpstreamGroup",
    "Weigh",
]


class Weigh(Enum):
    """What a service gives up last when time runs short."""

    TAIL = "tail"
    COVERAGE = "coverage"


@dataclass(frozen=True, slots=True)
class Region:
    """A group of data centres with short distances between them.

    Parameters
    ----------
    name : str
        Unique name.
    between_data_centres_ms : float
        One-way network time between two of its data centres.
    to_callers_ms : float
        One-way network time to its callers.
    """

    name: str
    between_data_centres_ms: float
    to_callers_ms: float


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A place with entry VMs and upstreams of its own.

    Parameters
    ----------
    name : str
        Unique name.
    region : str
        Name of its region.
    """

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Deadline:
    """How long a caller waits, and how the time is spent.

    Parameters
    ----------
    name : str
        Unique name.
    total_ms : float
        Time from the request's arrival to the answer's departure.
    margin_ms : float
        Part of it kept for merging and sending the answer.
    """

    name: str
    total_ms: float
    margin_ms: float


@dataclass(frozen=True, slots=True)
class Limit:
    """What one upstream can bear.

    Parameters
    ----------
    name : str
        Unique name.
    n_slots : int
        Calls that a warm upstream runs side by side.
    n_cold_slots : int
        Calls that a just started upstream bears side by side.
    n_connections : int
        Open connections that it accepts.
    connect_ms : float
        Time that it takes to accept one connection.
    n_batch : int
        Legs that one call may carry.
    """

    name: str
    n_slots: int
    n_cold_slots: int
    n_connections: int
    connect_ms: float
    n_batch: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """One server that holds shards.

    Parameters
    ----------
    name : str
        Unique name.
    data_centre : str
        Name of its data centre.
    address : str
        ``ip:port`` of its HTTP interface.
    limit : str
        Name of its limit.
    shard_set : str
        Name of the shard set that it serves.
    shards : tuple of int
        Shards of that set that it holds.
    """

    name: str
    data_centre: str
    address: str
    limit: str
    shard_set: str
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ShardSet:
    """An index cut into shards.

    Parameters
    ----------
    name : str
        Unique name.
    index_version : int
        Version of the index that new queries read.
    n_shards : int
        Number of shards at that version.
    n_group : int
        Upstreams of one data centre that are owned together.
    """

    name: str
    index_version: int
    n_shards: int
    n_group: int


@dataclass(frozen=True, slots=True)
class Service:
    """What callers ask for by name.

    Parameters
    ----------
    name : str
        Unique name.
    shard_set : str
        Name of the shard set that answers it.
    deadline : str
        Name of its deadline.
    repeatable : bool
        Whether a request may run more than once. A search may, an order may not.
    weigh : Weigh
        Whether a late answer or a thin one costs more.
    least_coverage : float
        Share of shards, 0 to 1, below which an answer is refused.
    priority : int
        Admission class; 0 is admitted first.
    hedge_budget : float
        Extra legs allowed as a share of the legs sent, 0 to 0.05.
    """

    name: str
    shard_set: str
    deadline: str
    repeatable: bool = True
    weigh: Weigh = Weigh.TAIL
    least_coverage: float = 0.0
    priority: int = 0
    hedge_budget: float = 0.02


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The index version and shard map that one query reads throughout.

    Parameters
    ----------
    shard_set : str
        Name of the shard set.
    version : int
        Index version.
    replicas : tuple of tuple of str
        Names of the upstreams that hold each shard; the position is the shard.
    """

    shard_set: str
    version: int
    replicas: tuple[tuple[str, ...], ...]

    @property
    def n_shards(self):
        """Number of shards, the denominator of coverage."""
        return len(self.replicas)


@dataclass(frozen=True, slots=True)
class UpstreamGroup:
    """Neighbouring upstreams of one data centre that one node owns at a time.

    Parameters
    ----------
    name : str
        ``shard-set/data-centre/index``.
    data_centre : str
        Name of the data centre.
    upstreams : tuple of str
        Names of the upstreams.
    """

    name: str
    data_centre: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Drains:
    """What operators have taken out of service.

    Parameters
    ----------
    data_centres : frozenset of str
        Names of drained data centres.
    upstreams : frozenset of str
        Names of drained upstreams.
    """

    data_centres: frozenset[str] = frozenset()
    upstreams: frozenset[str] = frozenset()

    def covers(self, upstream):
        """Return whether ``upstream``, an `Upstream`, gets no new work."""
        if upstream.name in self.upstreams:
            return True
        return upstream.data_centre in self.data_centres


@dataclass(frozen=True)
class DeclarationSet:
    """A set of declarations that has passed its checks.

    Parameters
    ----------
    regions, data_centres, deadlines, limits, upstreams, shard_sets, services : dict
        Declared objects by name.
    """

    regions: dict[str, Region] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    deadlines: dict[str, Deadline] = field(default_factory=dict)
    limits: dict[str, Limit] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    shard_sets: dict[str, ShardSet] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)

    @cached_property
    def snapshots(self):
        """Current `Snapshot` of every shard set, by shard set name."""
        return {name: self._build_snapshot(name) for name in self.shard_sets}

    @cached_property
    def groups(self):
        """Every `UpstreamGroup`, by its name."""
        groups = {}
        for shard_set in self.shard_sets.values():
            for group in self._cut_groups(shard_set):
                groups[group.name] = group
        return groups

    @cached_property
    def group_of(self):
        """The `UpstreamGroup` of every upstream, by upstream name."""
        return {
            upstream: group
            for group in self.groups.values()
            for upstream in group.upstreams
        }

    def _build_snapshot(self, name):
        shard_set = self.shard_sets[name]
        replicas = [[] for _ in range(shard_set.n_shards)]
        for upstream in self.upstreams.values():
            if upstream.shard_set != name:
                continue
            for shard in upstream.shards:
                replicas[shard].append(upstream.name)
        return Snapshot(
            name, shard_set.index_version, tuple(tuple(each) for each in replicas)
        )

    def _cut_groups(self, shard_set):
        by_data_centre = {}
        for upstream in sorted(self.upstreams.values(), key=lambda each: each.name):
            if upstream.shard_set == shard_set.name:
                by_data_centre.setdefault(upstream.data_centre, []).append(upstream)
        for data_centre, upstreams in sorted(by_data_centre.items()):
            for start in range(0, len(upstreams), shard_set.n_group):
                members = upstreams[start : start + shard_set.n_group]
                yield UpstreamGroup(
                    f"{shard_set.name}/{data_centre}/{start // shard_set.n_group}",
                    data_centre,
                    tuple(each.name for each in members),
                )
