"""Every error that heatherpick raises or reports, each saying when it is raised."""

from dataclasses import dataclass

__all__ = [
    "DeclarationError",
    "Finding",
    "FrameError",
    "HeatherpickError",
    "InvalidArgument",
    "SettingsError",
]


class HeatherpickError(Exception):
    """Base class of every error that heatherpick raises."""


class InvalidArgument(HeatherpickError, ValueError):
    """Raised at the edge of a public function when an argument cannot be used."""


class FrameError(HeatherpickError):
    """Raised when the bytes of a peer or of the platform are not a known message."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing wrong with a file, with its place and the remedy.

    Parameters
    ----------
    path : str
        File in which the fault stands.
    line : int
        Line number from 1, or 0 where no line applies.
    subject : str
        Section, object or key that is at fault.
    message : str
        What is wrong, naming the offending value and the remedy.
    """

    path: str
    line: int
    subject: str
    message: str

    def __str__(self):
        """Return the finding as one line, ``path:line: subject: message``."""
        return f"{self.path}:{self.line}: {self.subject}: {self.message}"


class _FindingsError(HeatherpickError):
    """Base of errors that carry every finding of one check.

    Parameters
    ----------
    findings : sequence of Finding
        All findings, in file and line order.
    """

    def __init__(self, findings):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class SettingsError(_FindingsError):
    """Raised when a settings file has one or more faults."""


class DeclarationError(_FindingsError):
    """Raised when a set of declarations has one or more faults."""
