"""Read an INI file into sections whose keys carry their line numbers.

configparser parses the values. It keeps no line numbers, and in strict mode it
stops at the first duplicate, so a second scan of the lines finds line numbers and
duplicates.
"""

import configparser
import io
import re
from dataclasses import dataclass

from heatherpick._ini.value_types import quote

__all__ = ["MAX_FILE_BYTES", "Entry", "Section", "read_sections", "read_text"]

#: Size of the largest file that is accepted.
MAX_FILE_BYTES = 4 * 1024 * 1024

#: Name that no section of a file can have, so that [DEFAULT] is an ordinary section.
_NO_DEFAULT_SECTION = "\n"

_COMMENT_PREFIXES = ("#", ";")
_SECTION_LINE = re.compile(r"\[(.+)\]")


@dataclass(frozen=True, slots=True)
class Entry:
    """The text of one key and the line that holds it."""

    text: str
    line: int


@dataclass(frozen=True, slots=True)
class Section:
    """One section of an INI file.

    Parameters
    ----------
    path : str
        File of the section.
    line : int
        Line of its header, or 0 where no line applies.
    title : str
        Text between the brackets.
    entries : dict of str to Entry
        Entries by key.
    """

    path: str
    line: int
    title: str
    entries: dict[str, Entry]

    @property
    def location(self):
        """File and line of the header, for `Findings.add`."""
        return self.path, self.line

    def find_location(self, key):
        """Return file and line of a key, or of the header if there is no such key."""
        entry = self.entries.get(key)
        return self.location if entry is None else (self.path, entry.line)


def read_text(path, findings):
    """Return the text of a file, or None after adding a finding.

    Parameters
    ----------
    path : str
        File to read.
    findings : Findings
        Receives a finding if the file cannot be read, is not UTF-8 or is larger
        than `MAX_FILE_BYTES`.
    """
    location = (path, 0)
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        findings.add(
            location, "file", f"cannot be read ({reason}); give a readable file"
        )
        return None
    if len(content) > MAX_FILE_BYTES:
        findings.add(
            location, "file", f"is larger than {MAX_FILE_BYTES} bytes; split the file"
        )
        return None
    try:
        return content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        findings.add((path, line), "file", "is not UTF-8 text; save it as UTF-8")
        return None


def read_sections(path, text, findings):
    """Return the sections of an INI text, adding a finding for each invalid line.

    Parameters
    ----------
    path : str
        File of the text, for findings.
    text : str
        Content of the file.
    findings : Findings
        Receives a finding for each line that is not valid INI and each duplicate
        section or key.

    Returns
    -------
    list of Section
        Sections in file order.
    """
    lines = io.StringIO(text, newline=None).readlines()
    parser = _parse(path, lines, findings)
    line_map = _LineMap(path, lines, findings)
    return [
        Section(
            path,
            line_map.sections.get(title, 0),
            title,
            {
                key: Entry(value, line_map.keys.get((title, key), 0))
                for key, value in parser.items(title)
            },
        )
        for title in parser.sections()
    ]


def _parse(path, lines, findings):
    parser = configparser.RawConfigParser(
        strict=False,
        delimiters=("=",),
        comment_prefixes=_COMMENT_PREFIXES,
        empty_lines_in_values=False,
        default_section=_NO_DEFAULT_SECTION,
    )
    parser.optionxform = str
    try:
        parser.read_file(lines, path)
    except configparser.MissingSectionHeaderError as error:
        shown = quote(error.line.strip())
        findings.add(
            (path, error.lineno),
            "line",
            f"{shown} precedes the first section; put [SECTION] before it",
        )
    except configparser.ParsingError as error:
        for number, _ in error.errors:
            shown = quote(lines[number - 1].strip())
            findings.add(
                (path, number), "line", f"{shown} is neither [SECTION] nor KEY = VALUE"
            )
    return parser


class _LineMap:
    """Line numbers of sections and keys, found by configparser's rules.

    A line indented deeper than the key before it continues that key's value, even
    if it looks like a key.

    Attributes
    ----------
    sections : dict of str to int
        First line of each section, by title.
    keys : dict of (str, str) to int
        First line of each key, by title and key.
    """

    def __init__(self, path, lines, findings):
        self.sections = {}
        self.keys = {}
        self._path = path
        self._findings = findings
        self._title = None
        self._indent = 0
        self._is_in_value = False
        for number, line in enumerate(lines, start=1):
            self._scan_line(number, line)

    def _scan_line(self, number, line):
        stripped = line.strip()
        if not stripped or stripped.startswith(_COMMENT_PREFIXES):
            self._is_in_value = False
            return
        indent = len(line) - len(line.lstrip())
        if self._is_in_value and indent > self._indent:
            return
        self._indent = indent
        self._scan_header_or_key(number, stripped)

    def _scan_header_or_key(self, number, stripped):
        header = _SECTION_LINE.match(stripped)
        if header:
            self._title = header.group(1)
            self._is_in_value = False
            self._record(self.sections, self._title, number, f"[{self._title}]")
            return
        key, delimiter, _ = stripped.partition("=")
        key = key.rstrip()
        if self._title is None or not delimiter or not key:
            return
        self._is_in_value = True
        self._record(self.keys, (self._title, key), number, f"[{self._title}] {key}")

    def _record(self, lines, name, number, subject):
        first = lines.setdefault(name, number)
        if first != number:
            self._findings.add(
                (self._path, number),
                subject,
                f"is already on line {first}; keep one of them",
            )
