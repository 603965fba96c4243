"""Kinds of declared objects, their keys and the types of these keys' values."""

from dataclasses import dataclass

from heatherpick._declarations.model import (
    DataCentre,
    Deadline,
    Limit,
    Region,
    Service,
    ShardSet,
    Upstream,
    Weigh,
)
from heatherpick._ini.values import (
    AddressValue,
    ChoiceValue,
    FlagValue,
    IntegerValue,
    NameValue,
    NumberValue,
    ShardsValue,
    Value,
)

__all__ = ["KINDS", "MAX_HEDGE_BUDGET", "Kind"]

MAX_NETWORK_MS = 10_000
MAX_DEADLINE_MS = 3_600_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_BATCH = 1_024
MAX_SHARDS = 65_536
MAX_GROUP = 1_024
MAX_VERSION = 10**15
MAX_PRIORITY = 7

#: Extra legs that any service may cause, as a share of the legs sent.
MAX_HEDGE_BUDGET = 0.05


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of declared object.

    Parameters
    ----------
    word : str
        First word of its sections' titles.
    plural : str
        Its field of `DeclarationSet`.
    cls : type
        Data class of its objects.
    values : dict of str to Value
        Type of the value of every key.
    """

    word: str
    plural: str
    cls: type
    values: dict[str, Value]


_NAME = NameValue()

_ALL = (
    Kind(
        "region",
        "regions",
        Region,
        {
            "between_data_centres_ms": NumberValue(0, MAX_NETWORK_MS),
            "to_callers_ms": NumberValue(0, MAX_NETWORK_MS),
        },
    ),
    Kind("data-centre", "data_centres", DataCentre, {"region": _NAME}),
    Kind(
        "deadline",
        "deadlines",
        Deadline,
        {
            "total_ms": NumberValue(1, MAX_DEADLINE_MS),
            "margin_ms": NumberValue(0, MAX_DEADLINE_MS),
        },
    ),
    Kind(
        "limit",
        "limits",
        Limit,
        {
            "n_slots": IntegerValue(1, MAX_SLOTS),
            "n_cold_slots": IntegerValue(1, MAX_SLOTS),
            "n_connections": IntegerValue(1, MAX_CONNECTIONS),
            "connect_ms": NumberValue(0, MAX_NETWORK_MS),
            "n_batch": IntegerValue(1, MAX_BATCH),
        },
    ),
    Kind(
        "shard-set",
        "shard_sets",
        ShardSet,
        {
            "index_version": IntegerValue(1, MAX_VERSION),
            "n_shards": IntegerValue(1, MAX_SHARDS),
            "n_group": IntegerValue(1, MAX_GROUP),
        },
    ),
    Kind(
        "upstream",
        "upstreams",
        Upstream,
        {
            "data_centre": _NAME,
            "address": AddressValue(),
            "limit": _NAME,
            "shard_set": _NAME,
            "shards": ShardsValue(MAX_SHARDS - 1),
        },
    ),
    Kind(
        "service",
        "services",
        Service,
        {
            "shard_set": _NAME,
            "deadline": _NAME,
            "repeatable": FlagValue(),
            "weigh": ChoiceValue(Weigh),
            "least_coverage": NumberValue(0, 1),
            "priority": IntegerValue(0, MAX_PRIORITY),
            "hedge_budget": NumberValue(0, MAX_HEDGE_BUDGET),
        },
    ),
)

#: Every `Kind`, by its word.
KINDS = {kind.word: kind for kind in _ALL}
