"""Decode document bodies into declarations and drains."""

import orjson

from heatherpick._declarations.checks import check_structure
from heatherpick._declarations.encode import (
    DECLARATIONS_OBJECT,
    DRAINS_OBJECT,
    FORMAT_VERSION,
)
from heatherpick._declarations.kinds import KINDS
from heatherpick._declarations.model import Drains
from heatherpick._declarations.parse import (
    DeclaredObject,
    DeclaredObjects,
    parse_sections,
)
from heatherpick._ini.findings import Findings
from heatherpick._ini.reader import Entry, Section
from heatherpick._ini.value_types import NameType, quote
from heatherpick.errors import DeclarationError

__all__ = ["decode_declarations", "decode_drains"]

_NAME = NameType()


def decode_declarations(body):
    """Return the `DeclarationSet` of a document body.

    Only faults that make the set unusable are checked, so that a program with
    stricter checks than the publisher's still accepts the live set.

    Raises
    ------
    DeclarationError
        If the body does not have the form that `encode_declarations` gives; the
        error carries every finding.
    """
    findings = Findings()
    content = _load_json_object(DECLARATIONS_OBJECT, body, {"kinds"}, findings)
    findings.raise_if_any(DeclarationError)
    objects = _decode_fast(content["kinds"])
    if objects is None:
        objects = parse_sections(_build_sections(content, findings), findings)
        check_structure(objects, findings)
    findings.raise_if_any(DeclarationError)
    return objects.build_set()


def decode_drains(body):
    """Return the `Drains` of a document body.

    Raises
    ------
    DeclarationError
        If the body does not have the form that `encode_drains` gives.
    """
    findings = Findings()
    content = _load_json_object(
        DRAINS_OBJECT, body, {"data_centres", "upstreams"}, findings
    )
    if content is not None:
        for key in ("data_centres", "upstreams"):
            _check_names(content[key], key, findings)
    findings.raise_if_any(DeclarationError)
    return Drains(frozenset(content["data_centres"]), frozenset(content["upstreams"]))


def _load_json_object(name, body, keys, findings):
    """Return the JSON object of a body, or None after adding a finding."""
    location = (name, 0)
    try:
        content = orjson.loads(body)
    except (ValueError, TypeError) as error:
        findings.add(location, "body", f"is not JSON ({quote(str(error))})")
        return None
    if not isinstance(content, dict):
        findings.add(location, "body", "is not a JSON object")
        return None
    if content.get("format") != FORMAT_VERSION:
        findings.add(
            location,
            "format",
            f"{quote(str(content.get('format')))} is not {FORMAT_VERSION}; use a "
            "program that supports this format",
        )
        return None
    if content.keys() != keys | {"format"}:
        findings.add(
            location, "body", f"must hold exactly format, {', '.join(sorted(keys))}"
        )
        return None
    return content


def _check_names(names, key, findings):
    location = (DRAINS_OBJECT, 0)
    if not isinstance(names, list):
        findings.add(location, key, "is not a list of names")
        return
    for name in names:
        message = _NAME.parse(str(name)).swap().value_or(None)
        if message is not None or not isinstance(name, str):
            findings.add(location, key, f"{quote(str(name))} is not a name")


def _decode_fast(tables):
    """Return the `DeclaredObjects` of tables without faults, else None.

    A node decodes a body of 8,000 upstreams while queries wait, so the usual case
    skips the locations and messages that only findings need.
    """
    objects = DeclaredObjects({keyword: {} for keyword in KINDS})
    try:
        for keyword, table in tables.items():
            _decode_rows(KINDS[keyword], table, objects)
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError):
        return None
    findings = Findings()
    check_structure(objects, findings)
    return None if findings.n_found else objects


def _decode_rows(kind, table, objects):
    keys = table["keys"]
    if sorted(keys) != sorted(["name", *kind.value_types]):
        raise ValueError
    converters = [
        _ConversionCache(kind.value_types.get(key, _NAME).convert) for key in keys
    ]
    section = Section(DECLARATIONS_OBJECT, 0, kind.keyword, {})
    objects_by_name = objects.by_kind[kind.keyword]
    for row in table["rows"]:
        cells = [cache[cell] for cache, cell in zip(converters, row, strict=True)]
        item = kind.cls(**dict(zip(keys, cells, strict=True)))
        objects_by_name[item.name] = DeclaredObject(kind.keyword, item, section)
        objects.section_by_title[f"{kind.keyword} {item.name}"] = section
    if len(objects_by_name) != len(table["rows"]):
        raise ValueError


class _ConversionCache(dict):
    """Converted texts of one column, cached because many objects have the same text."""

    def __init__(self, convert):
        super().__init__()
        self._convert = convert

    def __missing__(self, text):
        if not isinstance(text, str):
            raise TypeError
        value = self[text] = self._convert(text)
        return value


def _build_sections(content, findings):
    if not isinstance(content["kinds"], dict):
        findings.add((DECLARATIONS_OBJECT, 0), "kinds", "is not a JSON object")
        return []
    sections = []
    for keyword, table in content["kinds"].items():
        sections.extend(_build_table_sections(keyword, table, findings))
    return sections


def _build_table_sections(keyword, table, findings):
    location = (DECLARATIONS_OBJECT, 0)
    match table:
        case {"keys": ["name", *keys], "rows": list(rows)} if _is_string_list(keys):
            for row in rows:
                if not _is_string_list(row) or len(row) != len(keys) + 1:
                    findings.add(
                        location, keyword, "has a row that does not match its keys"
                    )
                    continue
                yield _build_section(keyword, keys, row)
        case _:
            findings.add(location, quote(keyword), "is not a table of keys and rows")


def _is_string_list(row):
    return isinstance(row, list) and all(isinstance(cell, str) for cell in row)


def _build_section(keyword, keys, row):
    entries = {key: Entry(text, 0) for key, text in zip(keys, row[1:], strict=True)}
    return Section(DECLARATIONS_OBJECT, 0, f"{keyword} {row[0]}", entries)
