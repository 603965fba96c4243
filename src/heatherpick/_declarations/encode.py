"""Turn declarations and drains into document bodies.

A body of declarations holds, for each kind, its keys once and then a row of
texts for each object, as they would stand in an INI file. So one reader serves
both, and 1,000 upstreams share one list of keys.
"""

import json

from heatherpick._declarations.kinds import KINDS
from heatherpick._ini.findings import Findings
from heatherpick.errors import DeclarationError

__all__ = [
    "DECLARATIONS_OBJECT",
    "DRAINS_OBJECT",
    "FORMAT",
    "MAX_BODY_BYTES",
    "encode_declarations",
    "encode_drains",
]

#: Names of the platform's objects.
DECLARATIONS_OBJECT = "shared/declarations"
DRAINS_OBJECT = "shared/drains"

#: Size of the largest body that the platform's store takes.
MAX_BODY_BYTES = 1_000_000

#: Number of the form of the bodies, raised when older programs cannot read them.
FORMAT = 1


def encode_declarations(declarations):
    """Return the document body of a `DeclarationSet`, as JSON text.

    Raises
    ------
    DeclarationError
        If the body is larger than `MAX_BODY_BYTES`.
    """
    kinds = {kind.word: _encode_kind(kind, declarations) for kind in KINDS.values()}
    return _dump(DECLARATIONS_OBJECT, {"format": FORMAT, "kinds": kinds})


def encode_drains(drains):
    """Return the document body of `Drains`, as JSON text."""
    content = {
        "format": FORMAT,
        "data_centres": sorted(drains.data_centres),
        "upstreams": sorted(drains.upstreams),
    }
    return _dump(DRAINS_OBJECT, content)


def _encode_kind(kind, declarations):
    items = getattr(declarations, kind.plural).values()
    rows = [
        [item.name, *(value.write(getattr(item, key)) for key, value in _items(kind))]
        for item in sorted(items, key=lambda each: each.name)
    ]
    return {"keys": ["name", *kind.values], "rows": rows}


def _items(kind):
    return kind.values.items()


def _dump(name, content):
    body = json.dumps(content, separators=(",", ":"), ensure_ascii=True)
    if len(body) > MAX_BODY_BYTES:
        findings = Findings()
        findings.add(
            (name, 0),
            "size",
            f"takes {len(body)} bytes, but the platform holds {MAX_BODY_BYTES}; "
            "declare fewer objects or shorter names",
        )
        findings.raise_any(DeclarationError)
    return body
