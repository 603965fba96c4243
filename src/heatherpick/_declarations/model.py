"""Objects that operators declare, and the validated set of them."""

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

__all__ = [
    "DataCentre",
    "Deadline",
    "DeclarationSet",
    "Drains",
    "Limit",
    "AnswerPreference",
    "Region",
    "Service",
    "ShardSet",
    "Snapshot",
    "Upstream",
    "UpstreamGroup",
]


class AnswerPreference(Enum):
    """What a service preserves when time runs short: low tail latency or coverage."""

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
    """A site with its own entry VMs and upstreams.

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
    """Time limit of a request, and the part of it reserved for the answer.

    Parameters
    ----------
    name : str
        Unique name.
    total_ms : float
        Time from the arrival of the request to the sending of the answer.
    margin_ms : float
        Part of ``total_ms`` reserved for merging and sending the answer.
    """

    name: str
    total_ms: float
    margin_ms: float


@dataclass(frozen=True, slots=True)
class Limit:
    """Capacity of one upstream.

    Parameters
    ----------
    name : str
        Unique name.
    n_slots : int
        Calls that a warm upstream runs concurrently.
    n_cold_slots : int
        Calls that an upstream runs concurrently just after its start.
    n_connections : int
        Open connections that the upstream accepts.
    connect_ms : float
        Time that the upstream takes to accept one connection.
    n_batch : int
        Largest number of legs in one call.
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
    """An index divided into shards.

    Parameters
    ----------
    name : str
        Unique name.
    index_version : int
        Index version that new queries read.
    n_shards : int
        Number of shards at that version.
    n_group : int
        Upstreams of one data centre that one node owns as a group.
    """

    name: str
    index_version: int
    n_shards: int
    n_group: int


@dataclass(frozen=True, slots=True)
class Service:
    """A named endpoint that callers send requests to.

    Parameters
    ----------
    name : str
        Unique name.
    shard_set : str
        Name of the shard set that serves it.
    deadline : str
        Name of its deadline.
    repeatable : bool
        Whether a request may run more than once. A search may, an order may not.
    weigh : AnswerPreference
        Whether tail latency or coverage matters more.
    least_coverage : float
        Share of covered shards, 0 to 1, below which an answer is refused.
    priority : int
        Admission class; 0 is admitted first.
    hedge_budget : float
        Extra legs allowed as a share of the legs sent, 0 to 0.05.
    """

    name: str
    shard_set: str
    deadline: str
    repeatable: bool = True
    weigh: AnswerPreference = AnswerPreference.TAIL
    least_coverage: float = 0.0
    priority: int = 0
    hedge_budget: float = 0.02


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Index version and shard map that one query uses from start to end.

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
    """Upstreams of one data centre, adjacent by name, that one node owns at a time.

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
    """Data centres and upstreams that operators have taken out of service.

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
    """A validated set of declarations.

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
        """Current `Snapshot` of every shard set, by its name."""
        return {name: self._build_snapshot(name) for name in self.shard_sets}

    @cached_property
    def groups(self):
        """Every `UpstreamGroup`, by its name."""
        groups = {}
        for shard_set in self.shard_sets.values():
            for group in self._split_into_groups(shard_set):
                groups[group.name] = group
        return groups

    @cached_property
    def group_by_upstream(self):
        """`UpstreamGroup` of every upstream, by upstream name."""
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

    def _split_into_groups(self, shard_set):
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
