"""Load a set of declarations from files and directories."""

import os

from heatherpick._declarations.checks import check_policy, check_structure
from heatherpick._declarations.parse import parse_sections
from heatherpick._ini.findings import Findings
from heatherpick._ini.reader import read_sections, read_text
from heatherpick.errors import DeclarationError

__all__ = ["load_declarations"]

SUFFIX = ".ini"


def load_declarations(paths):
    """Return the validated set of declarations in some files.

    Parameters
    ----------
    paths : iterable of str or path-like
        Files, and directories whose ``*.ini`` files are read in order of name.

    Returns
    -------
    DeclarationSet
        The set, without broken references or contradictions.

    Raises
    ------
    DeclarationError
        If the files have faults; the error carries every finding.
    """
    findings = Findings()
    sections = []
    for path in _list_files([str(path) for path in paths], findings):
        text = read_text(path, findings)
        if text is not None:
            sections.extend(read_sections(path, text, findings))
    objects = parse_sections(sections, findings)
    if not sections and not findings.n_found:
        findings.add(
            ("", 0), "declarations", "there are none; give files that have some"
        )
    check_structure(objects, findings)
    check_policy(objects, findings)
    findings.raise_if_any(DeclarationError)
    return objects.build_set()


def _list_files(paths, findings):
    files = {}
    for path in paths:
        for file in _expand_path(path, findings):
            files.setdefault(os.path.realpath(file), file)
    return files.values()


def _expand_path(path, findings):
    if not os.path.isdir(path):
        return [path]
    try:
        names = sorted(name for name in os.listdir(path) if name.endswith(SUFFIX))
    except OSError as error:
        findings.add((path, 0), "directory", f"cannot be read ({error.strerror})")
        return []
    if not names:
        findings.add((path, 0), "directory", f"holds no {SUFFIX} files; add some")
    return [os.path.join(path, name) for name in names]
