"""Fakes of the interfaces between the core's components."""

from dataclasses import dataclass, field

from heatherpick.declarations import (
    Deadline,
    DeclarationSet,
    Drains,
    Limit,
    Service,
    ShardSet,
    Upstream,
)


@dataclass
class FakeShare:
    """A share of an upstream's limit; ``max_slots`` caps it."""

    max_slots: int | None = None

    def limit(self, n_slots):
        return n_slots if self.max_slots is None else min(n_slots, self.max_slots)


@dataclass
class FakeMembers:
    """Members whose owners are set by the test; ``node_name`` owns the rest."""

    node_name: str
    owners: dict = field(default_factory=dict)
    shares: dict = field(default_factory=dict)

    def owner_of(self, group, now):
        return self.owners.get(group.name, self.node_name)

    def share_of(self, group, now):
        return self.shares.get(group.name, FakeShare())


@dataclass
class FakeDocuments:
    """The two documents that components read."""

    declarations: DeclarationSet
    drains: Drains = field(default_factory=Drains)


def build_documents(n_upstreams=2, limit=None, n_group=None, **service):
    """Return documents of one service whose upstreams all hold shard 0."""
    limit = limit or Limit("limit", 3, 1, 60, 6.0, 8)
    upstreams = {
        f"u{i}": Upstream(f"u{i}", "dc1", f"127.0.0.1:{i}", limit.name, "set", (0,))
        for i in range(n_upstreams)
    }
    shard_set = ShardSet("set", 1, 1, n_group or n_upstreams)
    return FakeDocuments(
        DeclarationSet(
            limits={limit.name: limit},
            deadlines={"deadline": Deadline("deadline", 1010.0, 10.0)},
            upstreams=upstreams,
            shard_sets={"set": shard_set},
            services={"service": Service("service", "set", "deadline", **service)},
        )
    )


def select(effects, kind):
    """Return the effects of one class."""
    return [each for each in effects if type(each) is kind]
