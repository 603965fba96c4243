"""Declarations of the size that an experiment needs."""

from dataclasses import dataclass

from heatherpick.declarations import (
    AnswerPreference,
    DataCentre,
    Deadline,
    DeclarationSet,
    Limit,
    Region,
    Service,
    ShardSet,
    Upstream,
)

__all__ = ["Shape", "build_declarations"]


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a declared set.

    Parameters
    ----------
    n_upstreams : int
        Upstreams of the searched shard set, distributed evenly over data centres.
    n_data_centres : int
        Data centres.
    n_replicas : int, default=2
        Upstreams that hold each shard, in different data centres.
    n_group : int, default=14
        Upstreams of a data centre that one node owns together.
    n_slots, n_cold_slots : int
        Limit of each upstream.
    first_port : int, default=24000
        Port of the first upstream on loopback.
    """

    n_upstreams: int
    n_data_centres: int
    n_replicas: int = 2
    n_group: int = 14
    n_slots: int = 3
    n_cold_slots: int = 2
    first_port: int = 24000


def build_declarations(shape):
    """Return a `DeclarationSet` in which a search has as many legs as upstreams.

    There are as many shards as upstreams; the replicas of a shard are in
    consecutive data centres.
    """
    data_centres = [f"dc-{number:02}" for number in range(shape.n_data_centres)]
    upstreams = {}
    for number in range(shape.n_upstreams):
        name = f"u-{number:04}"
        shards = tuple(
            sorted(
                (number + step) % shape.n_upstreams for step in range(shape.n_replicas)
            )
        )
        upstreams[name] = Upstream(
            name=name,
            data_centre=data_centres[number % shape.n_data_centres],
            address=f"127.0.0.1:{shape.first_port + number}",
            limit="limit",
            shard_set="index",
            shards=shards,
        )
    return DeclarationSet(
        regions={"region": Region("region", 1.5, 3.0)},
        data_centres={
            data_centre: DataCentre(data_centre, "region")
            for data_centre in data_centres
        },
        deadlines={"deadline": Deadline("deadline", 210.0, 15.0)},
        limits={
            "limit": Limit("limit", shape.n_slots, shape.n_cold_slots, 60, 6.0, 32)
        },
        upstreams=upstreams,
        shard_sets={"index": ShardSet("index", 1, shape.n_upstreams, shape.n_group)},
        services={
            "tail": Service("tail", "index", "deadline", True, AnswerPreference.TAIL),
            "coverage": Service(
                "coverage", "index", "deadline", True, AnswerPreference.COVERAGE
            ),
            "nightly": Service(
                "nightly",
                "index",
                "deadline",
                True,
                AnswerPreference.COVERAGE,
                priority=2,
            ),
        },
    )
