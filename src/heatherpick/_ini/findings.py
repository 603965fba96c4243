"""Collect findings from many checks and report them together."""

from heatherpick.errors import Finding

__all__ = ["MAX_FINDINGS_KEPT", "Findings"]

#: Findings kept in memory; those beyond are only counted.
MAX_FINDINGS_KEPT = 10_000


class Findings:
    """A list of findings that stays bounded however faulty the input is.

    Attributes
    ----------
    n_found : int
        Findings added, those beyond `MAX_FINDINGS_KEPT` included.
    """

    def __init__(self):
        self.n_found = 0
        self._kept = []

    def add(self, place, subject, message):
        """Add one finding.

        Parameters
        ----------
        place : tuple of (str, int)
            File, and line from 1 or 0 where no line applies.
        subject : str
            Section, object or key that is at fault.
        message : str
            What is wrong, naming the offending value and the remedy.
        """
        self.n_found += 1
        if len(self._kept) < MAX_FINDINGS_KEPT:
            path, line = place
            self._kept.append(Finding(path, line, subject, message))

    def get_sorted(self):
        """Return the kept findings as a tuple, in file and line order."""
        return tuple(sorted(self._kept, key=lambda each: (each.path, each.line)))

    def raise_any(self, error):
        """Raise ``error``, a class of `heatherpick.errors`, if there are findings."""
        if self.n_found:
            raise error(self.get_sorted(), self.n_found)
