"""Effects: what the reducer asks the node to do, as data."""

from dataclasses import dataclass

__all__ = [
    "AcceptHandOver",
    "AnswerGroup",
    "CancelGroup",
    "CancelHandOver",
    "CancelLeg",
    "ConfirmHandOver",
    "DeclineHandOver",
    "Forward",
    "HandOver",
    "Merge",
    "Refuse",
    "Report",
    "SendGroup",
    "SendLeg",
    "SetTimer",
]


@dataclass(frozen=True, slots=True)
class SendLeg:
    """Send a leg to its upstream.

    Parameters
    ----------
    leg : Leg
        The leg, with its upstream.
    timeout_ms : int
        Remaining time, which is sent along to the upstream.
    """

    leg: object
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class CancelLeg:
    """Close the connection of a leg, so that its upstream stops working on it."""

    leg: object


@dataclass(frozen=True, slots=True)
class SendGroup:
    """Ask a node of another data centre to send the legs of a group.

    Parameters
    ----------
    group : LegGroup
        The group, with its legs and the other node's address.
    wait_ms : int
        Time after which that node answers with what it has.
    timeout_ms : int
        Remaining time, which is sent along to the upstreams.
    """

    group: object
    wait_ms: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class CancelGroup:
    """Close the connection of a group, so that the other node cancels its legs."""

    group: object


@dataclass(frozen=True, slots=True)
class AnswerGroup:
    """Answer a group of another node.

    Parameters
    ----------
    request : object
        That node's request.
    outcomes : tuple of LegOutcome
        One for each leg, in the order in which they were named.
    body : bytes
        Merged records of the answered legs.
    """

    request: object
    outcomes: tuple
    body: bytes


@dataclass(frozen=True, slots=True)
class HandOver:
    """Offer a search to another node.

    Parameters
    ----------
    query : Query
        The search.
    address : str
        The other node's search address.
    timeout_ms : int
        Remaining time.
    """

    query: object
    address: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class ConfirmHandOver:
    """Tell the node that accepted a search that this node does not serve it."""

    query: object


@dataclass(frozen=True, slots=True)
class CancelHandOver:
    """Cancel a search at another node by closing the connection it was sent on."""

    query: object


@dataclass(frozen=True, slots=True)
class AcceptHandOver:
    """Tell the node that offered a search that this node is sending its legs."""

    request: object


@dataclass(frozen=True, slots=True)
class DeclineHandOver:
    """Tell the node that offered a search to serve it itself.

    Parameters
    ----------
    request : object
        That node's search.
    reason : str
        One line for the log.
    """

    request: object
    reason: str


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward an upstream's or aggregator's response to the caller unchanged."""

    request: object
    response: object


@dataclass(frozen=True, slots=True)
class Merge:
    """Answer the caller with merged parts.

    Parameters
    ----------
    request : object
        The caller's request, or the search of another node.
    signatures : list of bytes
        Signatures of the included parts.
    n_missing : int
        Number of shards whose part is missing.
    body : bytes
        Merged records.
    """

    request: object
    signatures: list
    n_missing: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller without a result.

    Parameters
    ----------
    request : object
        The caller's request, or the search of another node.
    status : int
        HTTP status; 503 guarantees that the request has not run and never will.
    retry_after_s : float or None
        Time after which the caller may retry; None to state no time.
    reason : str
        One line for the caller and the log.
    """

    request: object
    status: int
    retry_after_s: float | None
    reason: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass `TimerExpired` to the reducer at a time, replacing the query's timer.

    Parameters
    ----------
    query : Query
        The request.
    at : float
        Time in seconds.
    """

    query: object
    at: float


@dataclass(frozen=True, slots=True)
class Report:
    """Write one line to the log."""

    message: str
    fields: dict
