"""Turn declarations and drains into document bodies and back.

A body of declarations holds, for each kind, its keys once and then a row of
texts for each object, as they would stand in an INI file. So one reader serves
both, and 1,000 upstreams share one list of keys.
"""

import json

import orjson

from heatherpick._declarations.checks import check_structure
from heatherpick._declarations.kinds import KINDS
from heatherpick._declarations.model import Drains
from heatherpick._declarations.parse import parse_sections
from heatherpick._ini.findings import Findings
from heatherpick._ini.reader import Entry, Section
from heatherpick._ini.values import NameValue, quote
from heatherpick.errors import DeclarationError

__all__ = [
    "DECLARATIONS_OBJECT",
    "DRAINS_OBJECT",
    "MAX_BODY_BYTES",
    "decode_declarations",
    "decode_drains",
    "encode_declarations",
    "encode_drains",
]

#: Names of the platform's objects.
DECLARATIONS_OBJECT = "shared/declarations"
DRAINS_OBJECT = "shared/drains"

#: Size of the largest body that the platform's store takes.
MAX_BODY_BYTES = 1_000_000

FORMAT = 1

_NAME = NameValue()


def encode_declarations(declarations):
    """Return the document body of a `DeclarationSet`, as JSON text.

    Raises
    ------
    DeclarationError
        If the body is larger than `MAX_BODY_BYTES`.
    """
    kinds = {kind.word: _encode_kind(kind, declarations) for kind in KINDS.values()}
    return _dump(DECLARATIONS_OBJECT, {"format": FORMAT, "kinds": kinds})


def decode_declarations(body):
    """Return the `DeclarationSet` of a document body.

    Only faults that make the set unusable are looked for, so that a program with
    stricter checks than the publisher's still takes what is live.

    Raises
    ------
    DeclarationError
        If the body is not one that `encode_declarations` gives; it carries every
        finding.
    """
    findings = Findings()
    sections = _read_sections(body, findings)
    findings.raise_any(DeclarationError)
    declared = parse_sections(sections, findings)
    check_structure(declared, findings)
    findings.raise_any(DeclarationError)
    return declared.collect_set()


def encode_drains(drains):
    """Return the document body of `Drains`, as JSON text."""
    content = {
        "format": FORMAT,
        "data_centres": sorted(drains.data_centres),
        "upstreams": sorted(drains.upstreams),
    }
    return _dump(DRAINS_OBJECT, content)


def decode_drains(body):
    """Return the `Drains` of a document body.

    Raises
    ------
    DeclarationError
        If the body is not one that `encode_drains` gives.
    """
    findings = Findings()
    content = _load(DRAINS_OBJECT, body, {"data_centres", "upstreams"}, findings)
    if content is not None:
        for key in ("data_centres", "upstreams"):
            _check_names(content[key], key, findings)
    findings.raise_any(DeclarationError)
    return Drains(frozenset(content["data_centres"]), frozenset(content["upstreams"]))


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


def _load(name, body, keys, findings):
    """Return the JSON object of a body, or None after adding a finding."""
    place = (name, 0)
    try:
        content = orjson.loads(body)
    except (ValueError, TypeError) as error:
        findings.add(place, "body", f"is not JSON ({quote(str(error))})")
        return None
    if not isinstance(content, dict):
        findings.add(place, "body", "is not a JSON object")
        return None
    if content.get("format") != FORMAT:
        findings.add(
            place,
            "format",
            f"{quote(str(content.get('format')))} is not {FORMAT}; use a program that "
            "knows it",
        )
        return None
    if content.keys() != keys | {"format"}:
        findings.add(place, "body", f"does not hold just {', '.join(sorted(keys))}")
        return None
    return content


def _check_names(names, key, findings):
    place = (DRAINS_OBJECT, 0)
    if not isinstance(names, list):
        findings.add(place, key, "is not a list of names")
        return
    for name in names:
        message = _NAME.read(str(name)).swap().value_or(None)
        if message is not None or not isinstance(name, str):
            findings.add(place, key, f"{quote(str(name))} is no name")


def _read_sections(body, findings):
    content = _load(DECLARATIONS_OBJECT, body, {"kinds"}, findings)
    if content is None:
        return []
    if not isinstance(content["kinds"], dict):
        findings.add((DECLARATIONS_OBJECT, 0), "kinds", "is not a JSON object")
        return []
    sections = []
    for word, table in content["kinds"].items():
        sections.extend(_read_table(word, table, findings))
    return sections


def _read_table(word, table, findings):
    place = (DECLARATIONS_OBJECT, 0)
    match table:
        case {"keys": ["name", *keys], "rows": list(rows)} if _are_texts(keys):
            for row in rows:
                if not _are_texts(row) or len(row) != len(keys) + 1:
                    findings.add(place, word, "has a row that does not fit its keys")
                    continue
                yield _build_section(word, keys, row)
        case _:
            findings.add(place, quote(word), "is not a table of keys and rows")


def _are_texts(row):
    return isinstance(row, list) and all(isinstance(cell, str) for cell in row)


def _build_section(word, keys, row):
    entries = {key: Entry(text, 0) for key, text in zip(keys, row[1:], strict=True)}
    return Section(DECLARATIONS_OBJECT, 0, f"{word} {row[0]}", entries)
