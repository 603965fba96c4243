"""Declared objects and the checked set that holds them."""

from heatherpick._declarations.model import (
    DataCentre,
    Deadline,
    DeclarationSet,
    Drains,
    Limit,
    Region,
    Service,
    ShardSet,
    Snapshot,
    Upstream,
    UpstreamGroup,
    Weigh,
)

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
