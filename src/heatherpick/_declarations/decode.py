"""Read document bodies into declarations and drains."""

import orjson

from heatherpick._declarations.checks import check_structure
from heatherpick._declarations.encode import DECLARATIONS_OBJECT, DRAINS_OBJECT, FORMAT
from heatherpick._declarations.kinds import KINDS
from heatherpick._declarations.model import Drains
from heatherpick._declarations.parse import Declared, DeclaredObjects, parse_sections
from heatherpick._ini.findings import Findings
from heatherpick._ini.reader import Entry, Section
from heatherpick._ini.values import NameValue, quote
from heatherpick.errors import DeclarationError

__all__ = ["decode_declarations", "decode_drains"]

_NAME = NameValue()


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
    content = _load(DECLARATIONS_OBJECT, body, {"kinds"}, findings)
    findings.raise_any(DeclarationError)
    declared = _read_quickly(content["kinds"])
    if declared is None:
        declared = parse_sections(_read_sections(content, findings), findings)
        check_structure(declared, findings)
    findings.raise_any(DeclarationError)
    return declared.collect_set()


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


def _read_quickly(tables):
    """Return the `DeclaredObjects` of faultless tables, else None.

    A node reads a body of 8,000 upstreams while queries wait, so the usual case
    goes without the places and messages that only findings need.
    """
    declared = DeclaredObjects({word: {} for word in KINDS})
    try:
        for word, table in tables.items():
            _read_rows(KINDS[word], table, declared)
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError):
        return None
    findings = Findings()
    check_structure(declared, findings)
    return None if findings.n_found else declared


def _read_rows(kind, table, declared):
    keys = table["keys"]
    if sorted(keys) != sorted(["name", *kind.values]):
        raise ValueError
    converters = [_Memo(kind.values.get(key, _NAME).convert) for key in keys]
    section = Section(DECLARATIONS_OBJECT, 0, kind.word, {})
    objects = declared.by_kind[kind.word]
    for row in table["rows"]:
        cells = [memo[cell] for memo, cell in zip(converters, row, strict=True)]
        item = kind.cls(**dict(zip(keys, cells, strict=True)))
        objects[item.name] = Declared(kind.word, item, section)
        declared.titles[f"{kind.word} {item.name}"] = section
    if len(objects) != len(table["rows"]):
        raise ValueError


class _Memo(dict):
    """Converted texts of one column, in which many objects have the same text."""

    def __init__(self, convert):
        super().__init__()
        self._convert = convert

    def __missing__(self, text):
        if not isinstance(text, str):
            raise TypeError
        value = self[text] = self._convert(text)
        return value


def _read_sections(content, findings):
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
