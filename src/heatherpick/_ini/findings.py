"""Collect findings of many checks and report them together."""

from heatherpick.errors import Finding

__all__ = ["MAX_FINDINGS_KEPT", "Findings"]

#: Findings kept in memory; those beyond are only counted.
MAX_FINDINGS_KEPT = 10_000


class Findings:
    """A list of findings whose size is bounded, however faulty the input is.

    Attributes
    ----------
    n_found : int
        Number of findings added, including those beyond `MAX_FINDINGS_KEPT`.
    """

    def __init__(self):
        self.n_found = 0
        self._kept = []

    def add(self, location, subject, message):
        """Add one finding.

        Parameters
        ----------
        location : tuple of (str, int)
            File, and line counted from 1, or 0 where no line applies.
        subject : str
            Section, object or key at fault.
        message : str
            What is wrong, with the offending value and the remedy.
        """
        self.n_found += 1
        if len(self._kept) < MAX_FINDINGS_KEPT:
            path, line = location
            self._kept.append(Finding(path, line, subject, message))

    def get_sorted(self):
        """Return the kept findings as a tuple, sorted by file and line."""
        return tuple(sorted(self._kept, key=lambda each: (each.path, each.line)))

    def raise_if_any(self, error):
        """Raise ``error``, a class of `heatherpick.errors`, if there is any finding."""
        if self.n_found:
            raise error(self.get_sorted(), self.n_found)
