"""Parse sections into declared objects, each on its own."""

from dataclasses import dataclass, field, replace

from heatherpick._declarations.kinds import KINDS
from heatherpick._declarations.model import DeclarationSet
from heatherpick._ini.objects import build_object
from heatherpick._ini.reader import Section
from heatherpick._ini.value_types import NameType, quote

__all__ = ["DeclaredObject", "DeclaredObjects", "parse_sections"]

_NAME = NameType()


@dataclass(frozen=True, slots=True)
class DeclaredObject:
    """A declared object and its section."""

    kind: str
    item: object
    section: Section

    def format_subject(self, key):
        """Return section and key as a finding's subject."""
        return f"[{self.section.title}] {key}"


@dataclass(frozen=True, slots=True)
class DeclaredObjects:
    """All objects of some sections, before they are checked as a set.

    Parameters
    ----------
    by_kind : dict of str to dict of str to DeclaredObject
        For every kind, its objects by name, without faulty ones.
    section_by_title : dict of str to Section
        First section of every title, including those of faulty objects.
    faulty_kinds : set of str
        Kinds that have a faulty object.
    """

    by_kind: dict[str, dict[str, DeclaredObject]]
    section_by_title: dict[str, Section] = field(default_factory=dict)
    faulty_kinds: set[str] = field(default_factory=set)

    def list_kind(self, kind):
        """Return every `DeclaredObject` of a kind, in the order of the files."""
        return self.by_kind[kind].values()

    def find(self, kind, name):
        """Return a `DeclaredObject`, or None if it is missing or faulty."""
        return self.by_kind[kind].get(name)

    def is_declared(self, kind, name):
        """Return whether an object is declared, faulty or not."""
        return f"{kind} {name}" in self.section_by_title

    def build_set(self):
        """Return the `DeclarationSet` of the objects."""
        items_by_field = {
            kind.field_name: {
                name: each.item for name, each in self._items(kind.keyword)
            }
            for kind in KINDS.values()
        }
        return DeclarationSet(**items_by_field)

    def _items(self, keyword):
        return self.by_kind[keyword].items()


def parse_sections(sections, findings):
    """Return the `DeclaredObjects` of some sections.

    Parameters
    ----------
    sections : iterable of Section
        Sections of all files of the set.
    findings : Findings
        Receives unknown kinds, invalid names, faulty keys and duplicate objects.
    """
    objects = DeclaredObjects({keyword: {} for keyword in KINDS})
    for section in sections:
        name = _parse_title(section, findings)
        if name is None or _is_duplicate(section, objects.section_by_title, findings):
            continue
        kind = KINDS[section.title.partition(" ")[0]]
        item = _build_item(kind, section, name, findings)
        if item is None:
            objects.faulty_kinds.add(kind.keyword)
        else:
            objects.by_kind[kind.keyword][name] = DeclaredObject(
                kind.keyword, item, section
            )
    return objects


def _parse_title(section, findings):
    keyword, _, name = section.title.partition(" ")
    subject = f"[{quote(section.title)[1:-1]}]"
    if keyword not in KINDS:
        findings.add(
            section.location,
            subject,
            f"{quote(keyword)} is an unknown kind; known: {', '.join(KINDS)}",
        )
        return None
    message = _NAME.parse(name).swap().value_or(None)
    if message is not None:
        findings.add(section.location, subject, message)
        return None
    return name


def _is_duplicate(section, section_by_title, findings):
    first = section_by_title.setdefault(section.title, section)
    if first is section:
        return False
    findings.add(
        section.location,
        f"[{section.title}]",
        f"is declared at {first.path}:{first.line} already; keep one of them",
    )
    return True


def _build_item(kind, section, name, findings):
    fixed = {"name": name}
    item = build_object(section, kind.cls, kind.value_types, findings, fixed)
    if item is not None and kind.keyword == "service":
        return _apply_default_hedge_budget(item, section)
    return item


def _apply_default_hedge_budget(service, section):
    """Set a budget of 0 where requests may not be repeated and none is declared."""
    if service.repeatable or "hedge_budget" in section.entries:
        return service
    return replace(service, hedge_budget=0.0)
