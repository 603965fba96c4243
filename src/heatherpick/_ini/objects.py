"""Build a frozen data class from the keys of one section."""

import dataclasses
import difflib

from returns.result import Success

from heatherpick._ini.values import quote

__all__ = ["build_object"]


def build_object(section, cls, values, findings, fixed=None):
    """Return an instance of ``cls``, or None after adding every finding.

    A key is required unless its field of ``cls`` has a default.

    Parameters
    ----------
    section : Section
        Keys to read.
    cls : type
        A data class whose fields are the keys of ``values`` and ``fixed``.
    values : dict of str to Value
        Type of the value of every known key.
    findings : Findings
        Takes unknown and missing keys and values that cannot be read.
    fixed : dict, optional
        Fields that do not stand in the section.
    """
    n_before = findings.n_found
    _check_unknown(section, values, findings)
    arguments = dict(fixed or {})
    for field in dataclasses.fields(cls):
        if field.name in values:
            _read_field(section, field, values[field.name], arguments, findings)
    return cls(**arguments) if findings.n_found == n_before else None


def _check_unknown(section, values, findings):
    for key in section.entries:
        if key in values:
            continue
        near = difflib.get_close_matches(key[:64], values, n=1)
        remedy = f"did you mean {near[0]}?" if near else f"known: {', '.join(values)}"
        findings.add(
            section.find_place(key),
            f"[{section.title}] {quote(key)}",
            f"is an unknown key; {remedy}",
        )


def _read_field(section, field, value, arguments, findings):
    entry = section.entries.get(field.name)
    subject = f"[{section.title}] {field.name}"
    if entry is None:
        if field.default is dataclasses.MISSING:
            findings.add(
                section.place, subject, f"is missing; it must be {value.describe()}"
            )
        return
    match value.read(entry.text):
        case Success(read):
            arguments[field.name] = read
        case failure:
            findings.add(section.find_place(field.name), subject, failure.failure())
