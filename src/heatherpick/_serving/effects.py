"""What the reducer wants done, as data."""

from dataclasses import dataclass

__all__ = [
    "Accept",
    "CancelLeg",
    "Confirm",
    "Decline",
    "Forward",
    "HandOver",
    "Merge",
    "Refuse",
    "Report",
    "SendLeg",
    "TakeBack",
    "Wake",
]


@dataclass(frozen=True, slots=True)
class SendLeg:
    """Send a leg to its upstream.

    Parameters
    ----------
    leg : Leg
        What to send and where.
    patience_ms : int
        Time that is left, to be told to the upstream.
    """

    leg: object
    patience_ms: int


@dataclass(frozen=True, slots=True)
class CancelLeg:
    """Close the connection of a leg, so that its upstream stops work."""

    leg: object


@dataclass(frozen=True, slots=True)
class HandOver:
    """Offer a search to another node.

    Parameters
    ----------
    query : Query
        The search.
    address : str
        The other node's search address.
    patience_ms : int
        Time that is left.
    """

    query: object
    address: str
    patience_ms: int


@dataclass(frozen=True, slots=True)
class Confirm:
    """Tell the node that accepted a search that it is not served here."""

    query: object


@dataclass(frozen=True, slots=True)
class TakeBack:
    """Close the connection on which a search was handed over, which cancels it."""

    query: object


@dataclass(frozen=True, slots=True)
class Accept:
    """Tell the node that offered a search that its legs are being sent."""

    exchange: object


@dataclass(frozen=True, slots=True)
class Decline:
    """Tell the node that offered a search to serve it itself.

    Parameters
    ----------
    exchange : object
        The exchange with that node.
    reason : str
        One line for its log.
    """

    exchange: object
    reason: str


@dataclass(frozen=True, slots=True)
class Forward:
    """Hand an upstream's answer on to the caller, unchanged."""

    exchange: object
    answer: object


@dataclass(frozen=True, slots=True)
class Merge:
    """Answer the caller with merged parts.

    Parameters
    ----------
    exchange : object
        The exchange with the caller.
    signatures : list of bytes
        Signatures of the parts that are included.
    n_missing : int
        Shards that are left out.
    body : bytes
        Merged records.
    """

    exchange: object
    signatures: list
    n_missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller without a result.

    Parameters
    ----------
    exchange : object
        The exchange with the caller.
    status : int
        HTTP status; 503 promises that the request has not run and never will.
    retry_after_s : float or None
        When to come back.
    reason : str
        One line for the caller and the log.
    """

    exchange: object
    status: int
    retry_after_s: float | None
    reason: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Give `QueryDue` for a query at a time, in seconds; replaces an earlier one."""

    query: object
    at: float


@dataclass(frozen=True, slots=True)
class Report:
    """Write one line to the log."""

    message: str
    fields: dict
