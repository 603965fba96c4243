"""What happens to a node, as data for the reducer."""

from dataclasses import dataclass

__all__ = [
    "AnswerWritten",
    "CallerLeft",
    "HandOverAccepted",
    "HandOverAnswered",
    "HandOverConfirmed",
    "HandOverFailed",
    "LegAnswered",
    "LegFailed",
    "LegHeld",
    "LegLeft",
    "QueryDue",
    "RequestArrived",
]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A whole request of a caller was read.

    Parameters
    ----------
    exchange : object
        Names the exchange with the caller in effects.
    host, path : str
        What the route is chosen by.
    request_id : str
        The caller's id of this attempt; "" if there is none.
    patience_ms : float or None
        How long the caller will wait; None if it does not say.
    way_ms : float or None, default=None
        Time that the request and its answer spend between caller and node, the opening
        of a new connection included; None if it is not known.
    peer_version : int or None, default=None
        Version of the routes by which another node chose to hand the search over; None
        for a request of a caller's own.
    age_ms : float, default=0.0
        Time that the other node has already had it.
    """

    exchange: object
    host: str
    path: str
    request_id: str
    patience_ms: float | None
    way_ms: float | None = None
    peer_version: int | None = None
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class HandOverAccepted:
    """The node that was offered a search sends its legs."""

    query: object


@dataclass(frozen=True, slots=True)
class HandOverConfirmed:
    """The node that handed a search over here knows that it runs here only."""

    query: object


@dataclass(frozen=True, slots=True)
class HandOverAnswered:
    """The node that was offered a search answered whole.

    Parameters
    ----------
    query : Query
        The search.
    answer : object
        Status, headers and body, to be handed on unchanged.
    is_declined : bool
        Whether that node has not begun the search and will not.
    """

    query: object
    answer: object
    is_declined: bool


@dataclass(frozen=True, slots=True)
class HandOverFailed:
    """The node that was offered a search gave no whole answer; ``reason`` says why."""

    query: object
    reason: str


@dataclass(frozen=True, slots=True)
class AnswerWritten:
    """A merged answer was handed to the socket ``elapsed_ms`` after it was decided."""

    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller closed its connection before its answer."""

    query: object


@dataclass(frozen=True, slots=True)
class LegAnswered:
    """An upstream's answer was read whole and belongs to the leg.

    Parameters
    ----------
    leg : Leg
        The leg that was sent.
    status : int
        HTTP status.
    signature : bytes
        The upstream's signature; b"" if there is none.
    is_proven_unexecuted : bool
        Whether the upstream says that it did not run the request.
    is_other_upstream : bool
        Whether another upstream has the address now.
    load : tuple of int or None
        Running, waiting and slots, as the upstream says.
    answer : object
        Status, headers and body, to be handed on unchanged.
    body : bytes
        The body.
    """

    leg: object
    status: int
    signature: bytes
    is_proven_unexecuted: bool
    is_other_upstream: bool
    load: tuple | None
    answer: object
    body: bytes


@dataclass(frozen=True, slots=True)
class LegFailed:
    """A leg ended without a whole answer.

    Parameters
    ----------
    leg : Leg
        The leg that was sent.
    was_sent : bool
        Whether a byte may have left.
    reason : str
        For the log.
    """

    leg: object
    was_sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class LegHeld:
    """A leg waits for a connection, so that nothing of it has left."""

    leg: object


@dataclass(frozen=True, slots=True)
class LegLeft:
    """A leg that was held is being sent, so that it may run from now on."""

    leg: object


@dataclass(frozen=True, slots=True)
class QueryDue:
    """The time that a query asked for has come."""

    query: object
