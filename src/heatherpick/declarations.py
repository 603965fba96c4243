"""Declared objects, the checked set of them, and its stored documents."""

from heatherpick._declarations.decode import decode_declarations, decode_drains
from heatherpick._declarations.differences import Difference, find_differences
from heatherpick._declarations.encode import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    MAX_BODY_BYTES,
    encode_declarations,
    encode_drains,
)
from heatherpick._declarations.load import load_declarations
from heatherpick._declarations.model import (
    AnswerPreference,
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
)
from heatherpick._declarations.unsafe_changes import (
    find_unsafe_changes,
    find_unserved_shards,
)

__all__ = [
    "DECLARATIONS_OBJECT",
    "DRAINS_OBJECT",
    "MAX_BODY_BYTES",
    "DataCentre",
    "Deadline",
    "DeclarationSet",
    "Difference",
    "Drains",
    "Limit",
    "AnswerPreference",
    "Region",
    "Service",
    "ShardSet",
    "Snapshot",
    "Upstream",
    "UpstreamGroup",
    "decode_declarations",
    "decode_drains",
    "encode_declarations",
    "encode_drains",
    "find_differences",
    "find_unsafe_changes",
    "find_unserved_shards",
    "load_declarations",
]
