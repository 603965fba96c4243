"""Encode declarations and drains as document bodies.

A body of declarations holds, for each kind, its keys once and then a row of texts
for each object, in the same form as in an INI file. So one parser serves both, and
1,000 upstreams share one list of keys.
"""

import json

from heatherpick._declarations.kinds import KINDS
from heatherpick._ini.findings import Findings
from heatherpick.errors import DeclarationError

__all__ = [
    "DECLARATIONS_OBJECT",
    "DRAINS_OBJECT",
    "FORMAT_VERSION",
    "MAX_BODY_BYTES",
    "encode_declarations",
    "encode_drains",
]

#: Names of the platform's objects.
DECLARATIONS_OBJECT = "shared/declarations"
DRAINS_OBJECT = "shared/drains"

#: Size of the largest body that the platform's store accepts.
MAX_BODY_BYTES = 1_000_000

#: Version of the format of the bodies, raised when older programs cannot decode them.
FORMAT_VERSION = 1


def encode_declarations(declarations):
    """Return the document body of a `DeclarationSet`, as JSON text.

    Raises
    ------
    DeclarationError
        If the body is larger than `MAX_BODY_BYTES`.
    """
    kinds = {kind.keyword: _encode_kind(kind, declarations) for kind in KINDS.values()}
    return _encode_body(DECLARATIONS_OBJECT, {"format": FORMAT_VERSION, "kinds": kinds})


def encode_drains(drains):
    """Return the document body of `Drains`, as JSON text."""
    content = {
        "format": FORMAT_VERSION,
        "data_centres": sorted(drains.data_centres),
        "upstreams": sorted(drains.upstreams),
    }
    return _encode_body(DRAINS_OBJECT, content)


def _encode_kind(kind, declarations):
    items = getattr(declarations, kind.field_name).values()
    rows = [
        [
            item.name,
            *(
                value_type.format(getattr(item, key))
                for key, value_type in _items(kind)
            ),
        ]
        for item in sorted(items, key=lambda each: each.name)
    ]
    return {"keys": ["name", *kind.value_types], "rows": rows}


def _items(kind):
    return kind.value_types.items()


def _encode_body(name, content):
    body = json.dumps(content, separators=(",", ":"), ensure_ascii=True)
    if len(body) > MAX_BODY_BYTES:
        findings = Findings()
        findings.add(
            (name, 0),
            "size",
            f"takes {len(body)} bytes, but the platform holds {MAX_BODY_BYTES}; "
            "declare fewer objects or shorter names",
        )
        findings.raise_if_any(DeclarationError)
    return body
