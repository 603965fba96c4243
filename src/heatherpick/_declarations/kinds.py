"""Kinds of declared objects, with their keys and the types of the keys' values."""

from dataclasses import dataclass

from heatherpick._declarations.model import (
    AnswerPreference,
    DataCentre,
    Deadline,
    Limit,
    Region,
    Service,
    ShardSet,
    Upstream,
)
from heatherpick._ini.value_types import (
    AddressType,
    BooleanType,
    ChoiceType,
    IntegerType,
    NameType,
    NumberType,
    ShardListType,
    ValueType,
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

#: Largest hedge budget of a service: extra legs as a share of the legs sent.
MAX_HEDGE_BUDGET = 0.05


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of declared object.

    Parameters
    ----------
    keyword : str
        First word of the titles of its sections.
    field_name : str
        Field of `DeclarationSet` that holds its objects.
    cls : type
        Data class of its objects.
    value_types : dict of str to ValueType
        Type of the value of every key.
    """

    keyword: str
    field_name: str
    cls: type
    value_types: dict[str, ValueType]


_NAME = NameType()

_ALL_KINDS = (
    Kind(
        "region",
        "regions",
        Region,
        {
            "between_data_centres_ms": NumberType(0, MAX_NETWORK_MS),
            "to_callers_ms": NumberType(0, MAX_NETWORK_MS),
        },
    ),
    Kind("data-centre", "data_centres", DataCentre, {"region": _NAME}),
    Kind(
        "deadline",
        "deadlines",
        Deadline,
        {
            "total_ms": NumberType(1, MAX_DEADLINE_MS),
            "margin_ms": NumberType(0, MAX_DEADLINE_MS),
        },
    ),
    Kind(
        "limit",
        "limits",
        Limit,
        {
            "n_slots": IntegerType(1, MAX_SLOTS),
            "n_cold_slots": IntegerType(1, MAX_SLOTS),
            "n_connections": IntegerType(1, MAX_CONNECTIONS),
            "connect_ms": NumberType(0, MAX_NETWORK_MS),
            "n_batch": IntegerType(1, MAX_BATCH),
        },
    ),
    Kind(
        "shard-set",
        "shard_sets",
        ShardSet,
        {
            "index_version": IntegerType(1, MAX_VERSION),
            "n_shards": IntegerType(1, MAX_SHARDS),
            "n_group": IntegerType(1, MAX_GROUP),
        },
    ),
    Kind(
        "upstream",
        "upstreams",
        Upstream,
        {
            "data_centre": _NAME,
            "address": AddressType(),
            "limit": _NAME,
            "shard_set": _NAME,
            "shards": ShardListType(MAX_SHARDS - 1),
        },
    ),
    Kind(
        "service",
        "services",
        Service,
        {
            "shard_set": _NAME,
            "deadline": _NAME,
            "repeatable": BooleanType(),
            "weigh": ChoiceType(AnswerPreference),
            "least_coverage": NumberType(0, 1),
            "priority": IntegerType(0, MAX_PRIORITY),
            "hedge_budget": NumberType(0, MAX_HEDGE_BUDGET),
        },
    ),
)

#: Every `Kind`, by its keyword.
KINDS = {kind.keyword: kind for kind in _ALL_KINDS}
