"""Build a frozen data class from the keys of one section."""

import dataclasses
import difflib

from returns.result import Success

from heatherpick._ini.value_types import quote

__all__ = ["build_object"]


def build_object(section, cls, value_types, findings, fixed=None):
    """Return an instance of ``cls``, or None after adding every finding.

    A key is required unless its field of ``cls`` has a default.

    Parameters
    ----------
    section : Section
        The section to read.
    cls : type
        A data class whose fields are the keys of ``value_types`` and ``fixed``.
    value_types : dict of str to ValueType
        Type of the value of every known key.
    findings : Findings
        Collects unknown keys, missing keys and invalid values.
    fixed : dict, optional
        Values of fields that are not keys of the section.
    """
    n_before = findings.n_found
    _check_unknown_keys(section, value_types, findings)
    arguments = dict(fixed or {})
    for field in dataclasses.fields(cls):
        if field.name in value_types:
            _read_field(section, field, value_types[field.name], arguments, findings)
    return cls(**arguments) if findings.n_found == n_before else None


def _check_unknown_keys(section, value_types, findings):
    for key in section.entries:
        if key in value_types:
            continue
        close_matches = difflib.get_close_matches(key[:64], value_types, n=1)
        remedy = (
            f"did you mean {close_matches[0]}?"
            if close_matches
            else f"known: {', '.join(value_types)}"
        )
        findings.add(
            section.find_location(key),
            f"[{section.title}] {quote(key)}",
            f"is an unknown key; {remedy}",
        )


def _read_field(section, field, value_type, arguments, findings):
    entry = section.entries.get(field.name)
    subject = f"[{section.title}] {field.name}"
    if entry is None:
        if field.default is dataclasses.MISSING:
            findings.add(
                section.location,
                subject,
                f"is missing; it must be {value_type.describe()}",
            )
        return
    match value_type.parse(entry.text):
        case Success(parsed):
            arguments[field.name] = parsed
        case failure:
            findings.add(section.find_location(field.name), subject, failure.failure())
