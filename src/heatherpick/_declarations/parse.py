"""Turn sections into declared objects, one by one."""

from dataclasses import dataclass, field, replace

from heatherpick._declarations.kinds import KINDS
from heatherpick._declarations.model import DeclarationSet
from heatherpick._ini.objects import build_object
from heatherpick._ini.reader import Section
from heatherpick._ini.values import NameValue, quote

__all__ = ["Declared", "DeclaredObjects", "parse_sections"]

_NAME = NameValue()


@dataclass(frozen=True, slots=True)
class Declared:
    """A declared object with the section that it stands in."""

    kind: str
    item: object
    section: Section

    def find_subject(self, key):
        """Return section and key as a finding's subject."""
        return f"[{self.section.title}] {key}"


@dataclass(frozen=True, slots=True)
class DeclaredObjects:
    """Everything that some sections declare, before it is checked together.

    Parameters
    ----------
    by_kind : dict of str to dict of str to Declared
        For every kind, its objects by name. Objects with faults are left out.
    titles : dict of str to Section
        First section of every title, those with faults included.
    faulty_kinds : set of str
        Kinds of which some object was left out.
    """

    by_kind: dict[str, dict[str, Declared]]
    titles: dict[str, Section] = field(default_factory=dict)
    faulty_kinds: set[str] = field(default_factory=set)

    def list_kind(self, kind):
        """Return the `Declared` of one kind, in the order of the files."""
        return self.by_kind[kind].values()

    def find(self, kind, name):
        """Return a `Declared`, or None if there is none without faults."""
        return self.by_kind[kind].get(name)

    def has_title(self, kind, name):
        """Return whether an object is declared, with faults or without."""
        return f"{kind} {name}" in self.titles

    def collect_set(self):
        """Return the `DeclarationSet` of the objects."""
        objects = {
            kind.plural: {name: each.item for name, each in self._items(kind.word)}
            for kind in KINDS.values()
        }
        return DeclarationSet(**objects)

    def _items(self, word):
        return self.by_kind[word].items()


def parse_sections(sections, findings):
    """Return the `DeclaredObjects` of some sections.

    Parameters
    ----------
    sections : iterable of Section
        Sections of all files of the set.
    findings : Findings
        Takes unknown kinds, wrong names, faulty keys and names that stand twice.
    """
    declared = DeclaredObjects({word: {} for word in KINDS})
    for section in sections:
        name = _read_title(section, findings)
        if name is None or _is_repeated(section, declared.titles, findings):
            continue
        kind = KINDS[section.title.partition(" ")[0]]
        item = _build_item(kind, section, name, findings)
        if item is None:
            declared.faulty_kinds.add(kind.word)
        else:
            declared.by_kind[kind.word][name] = Declared(kind.word, item, section)
    return declared


def _read_title(section, findings):
    word, _, name = section.title.partition(" ")
    subject = f"[{quote(section.title)[1:-1]}]"
    if word not in KINDS:
        findings.add(
            section.place,
            subject,
            f"{quote(word)} is an unknown kind; known: {', '.join(KINDS)}",
        )
        return None
    message = _NAME.read(name).swap().value_or(None)
    if message is not None:
        findings.add(section.place, subject, message)
        return None
    return name


def _is_repeated(section, titles, findings):
    first = titles.setdefault(section.title, section)
    if first is section:
        return False
    findings.add(
        section.place,
        f"[{section.title}]",
        f"is declared at {first.path}:{first.line} already; keep one of them",
    )
    return True


def _build_item(kind, section, name, findings):
    fixed = {"name": name}
    item = build_object(section, kind.cls, kind.values, findings, fixed)
    if item is not None and kind.word == "service":
        return _default_hedge_budget(item, section)
    return item


def _default_hedge_budget(service, section):
    """A service whose requests may not be repeated hedges nothing unless told."""
    if service.repeatable or "hedge_budget" in section.entries:
        return service
    return replace(service, hedge_budget=0.0)
