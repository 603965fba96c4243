"""Read an INI file into sections whose keys know their line numbers.

configparser gives the values. It forgets line numbers and stops at the first
duplicate, so a second scan of the lines finds both.
"""

import configparser
import io
import re
from dataclasses import dataclass

from heatherpick._ini.values import quote

__all__ = ["MAX_FILE_BYTES", "Entry", "Section", "read_sections", "read_text"]

#: Size of the largest file that is read.
MAX_FILE_BYTES = 4 * 1024 * 1024

#: Outside any section name that a file can hold, so that no section is special.
_NO_DEFAULT_SECTION = "\n"

_COMMENT_STARTS = ("#", ";")
_SECTION_LINE = re.compile(r"\[(.+)\]")


@dataclass(frozen=True, slots=True)
class Entry:
    """One key of a section, its text and where it stands."""

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
        Its keys.
    """

    path: str
    line: int
    title: str
    entries: dict[str, Entry]

    @property
    def place(self):
        """File and line of the header, as `Findings.add` takes them."""
        return self.path, self.line

    def find_place(self, key):
        """Return file and line of a key, or of the header if there is no such key."""
        entry = self.entries.get(key)
        return self.place if entry is None else (self.path, entry.line)


def read_text(path, findings):
    """Return the text of a file, or None after adding a finding.

    Parameters
    ----------
    path : str
        File to read.
    findings : Findings
        Takes a finding if the file cannot be read, is not UTF-8 or is larger
        than `MAX_FILE_BYTES`.
    """
    place = (path, 0)
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        findings.add(place, "file", f"cannot be read ({reason}); give a readable file")
        return None
    if len(content) > MAX_FILE_BYTES:
        findings.add(
            place, "file", f"is larger than {MAX_FILE_BYTES} bytes; split the file"
        )
        return None
    try:
        return content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        findings.add((path, line), "file", "is not UTF-8 text; save it as UTF-8")
        return None


def read_sections(path, text, findings):
    """Return the sections of an INI text, adding a finding for each broken line.

    Parameters
    ----------
    path : str
        File that the text is from, for findings.
    text : str
        Content of the file.
    findings : Findings
        Takes lines that are no INI and sections or keys that stand twice.

    Returns
    -------
    list of Section
        Sections in the order of the file.
    """
    lines = io.StringIO(text, newline=None).readlines()
    parser = _parse(path, lines, findings)
    places = _LineMap(path, lines, findings)
    return [
        Section(
            path,
            places.sections.get(title, 0),
            title,
            {
                key: Entry(value, places.keys.get((title, key), 0))
                for key, value in parser.items(title)
            },
        )
        for title in parser.sections()
    ]


def _parse(path, lines, findings):
    parser = configparser.RawConfigParser(
        strict=False,
        delimiters=("=",),
        comment_prefixes=_COMMENT_STARTS,
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
            f"{shown} stands before any section; put [SECTION] before it",
        )
    except configparser.ParsingError as error:
        for number, _ in error.errors:
            shown = quote(lines[number - 1].strip())
            findings.add(
                (path, number), "line", f"{shown} is neither [SECTION] nor KEY = VALUE"
            )
    return parser


class _LineMap:
    """Lines of sections and keys, by the same rules as configparser's.

    A key that stands on a line indented deeper than the key before it is a
    continuation of that key's value.
    """

    def __init__(self, path, lines, findings):
        self.sections = {}
        self.keys = {}
        self._path = path
        self._findings = findings
        self._title = None
        self._indent = 0
        self._in_value = False
        for number, line in enumerate(lines, start=1):
            self._scan(number, line)

    def _scan(self, number, line):
        stripped = line.strip()
        if not stripped or stripped.startswith(_COMMENT_STARTS):
            self._in_value = False
            return
        indent = len(line) - len(line.lstrip())
        if self._in_value and indent > self._indent:
            return
        self._indent = indent
        self._scan_start(number, stripped)

    def _scan_start(self, number, stripped):
        header = _SECTION_LINE.match(stripped)
        if header:
            self._title = header.group(1)
            self._in_value = False
            self._note(self.sections, self._title, number, f"[{self._title}]")
            return
        key, delimiter, _ = stripped.partition("=")
        key = key.rstrip()
        if self._title is None or not delimiter or not key:
            return
        self._in_value = True
        self._note(self.keys, (self._title, key), number, f"[{self._title}] {key}")

    def _note(self, lines, name, number, subject):
        first = lines.setdefault(name, number)
        if first != number:
            self._findings.add(
                (self._path, number),
                subject,
                f"stands on line {first} already; keep one of them",
            )
