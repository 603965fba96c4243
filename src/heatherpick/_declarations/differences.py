"""Find the differences between two sets of declarations."""

import dataclasses

from heatherpick._declarations.kinds import KINDS

__all__ = ["Difference", "find_differences"]


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One object that differs between two sets.

    Parameters
    ----------
    kind, name : str
        Kind and name of the object.
    action : str
        "added", "removed" or "changed".
    changes : tuple of (str, str, str)
        Key, old text and new text of every key that changed.
    """

    kind: str
    name: str
    action: str
    changes: tuple[tuple[str, str, str], ...] = ()

    def __str__(self):
        """Return the difference as one line.

        Examples
        --------
        >>> str(Difference("region", "a", "changed", (("to_callers_ms", "1", "3"),)))
        'changed [region a] to_callers_ms: 1 -> 3'
        """
        changes = ", ".join(f"{key}: {old} -> {new}" for key, old, new in self.changes)
        return f"{self.action} [{self.kind} {self.name}] {changes}".rstrip()


def find_differences(old, new):
    """Return every `Difference` between one `DeclarationSet` and another.

    Parameters
    ----------
    old, new : DeclarationSet
        The sets to compare.

    Returns
    -------
    tuple of Difference
        In order of kind and name; empty if the sets are equal.
    """
    differences = []
    for kind in KINDS.values():
        before = getattr(old, kind.field_name)
        after = getattr(new, kind.field_name)
        for name in sorted(before.keys() | after.keys()):
            difference = _compare(kind, name, before.get(name), after.get(name))
            if difference is not None:
                differences.append(difference)
    return tuple(differences)


def _compare(kind, name, before, after):
    if before is None:
        return Difference(kind.keyword, name, "added")
    if after is None:
        return Difference(kind.keyword, name, "removed")
    if before == after:
        return None
    changes = tuple(
        (
            key,
            value_type.format(getattr(before, key)),
            value_type.format(getattr(after, key)),
        )
        for key, value_type in kind.value_types.items()
        if getattr(before, key) != getattr(after, key)
    )
    return Difference(kind.keyword, name, "changed", changes)
