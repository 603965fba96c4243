"""Events: what has happened to requests and legs, as input of the reducer."""

from dataclasses import dataclass

__all__ = [
    "AnswerWritten",
    "CallerDisconnected",
    "HandOverAccepted",
    "HandOverAnswered",
    "HandOverConfirmed",
    "HandOverFailed",
    "LegAnswered",
    "LegFailed",
    "LegQueued",
    "LegSent",
    "RequestArrived",
    "ServingEnded",
    "StopBegan",
    "TimerExpired",
    "GroupAnswered",
    "GroupArrived",
    "GroupFailed",
]


class _QueryEvent:
    """Base of the events about a query."""

    __slots__ = ()

    @property
    def request(self):
        """The request that the event is about."""
        return self.query.request


class _LegEvent:
    """Base of the events about a leg."""

    __slots__ = ()

    @property
    def request(self):
        """The request that the event is about."""
        return self.leg.query.request


class _GroupEvent:
    """Base of the events about a group of legs that another node sends."""

    __slots__ = ()

    @property
    def request(self):
        """The request that the event is about."""
        return self.group.query.request


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request of a caller, or a search of another node, was read completely.

    Parameters
    ----------
    request : object
        The request as received, which effects pass back.
    host, path : str
        Host and path, by which the route is chosen.
    request_id : str
        The caller's id of this attempt; "" if there is none.
    timeout_ms : float or None
        How long the caller will wait, in milliseconds; None if it does not say.
    network_ms : float or None, default=None
        Time that the request and its answer take between caller and node, in
        milliseconds, including the opening of a new connection; None if unknown.
    peer_routes_version : int or None, default=None
        Version of the routes with which another node handed the search over; None for
        a request that came from a caller.
    age_ms : float, default=0.0
        Time since the other node received the search, in milliseconds.
    """

    request: object
    host: str
    path: str
    request_id: str
    timeout_ms: float | None
    network_ms: float | None = None
    peer_routes_version: int | None = None
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class HandOverAccepted(_QueryEvent):
    """The node that was offered a search accepted it and is sending its legs."""

    query: object


@dataclass(frozen=True, slots=True)
class HandOverConfirmed(_QueryEvent):
    """The node that handed a search over confirmed that it does not serve it itself."""

    query: object


@dataclass(frozen=True, slots=True)
class HandOverAnswered(_QueryEvent):
    """The node that was offered a search sent a complete response.

    Parameters
    ----------
    query : Query
        The search.
    response : object
        Status, headers and body, to be forwarded unchanged.
    is_declined : bool
        Whether that node has not begun the search and will not.
    """

    query: object
    response: object
    is_declined: bool


@dataclass(frozen=True, slots=True)
class HandOverFailed(_QueryEvent):
    """The node that was offered a search sent no complete response.

    Parameters
    ----------
    query : Query
        The search.
    reason : str
        Cause, for the log.
    """

    query: object
    reason: str


@dataclass(frozen=True, slots=True)
class GroupArrived:
    """Another node asks this one to send legs of a search and to merge their parts.

    Parameters
    ----------
    request : object
        The network layer's request, to which the answer is written.
    host, path : str
        Which route the search has.
    request_id : str
        Id of the caller's attempt.
    upstream_ids : tuple of str
        The upstream of each leg.
    n_records : int
        Most records of the answer.
    is_rest : bool
        Whether the legs were late in an earlier group of the same search.
    wait_ms : float
        Time after which the answer is due with what there is.
    timeout_ms : int
        Remaining time of the search, which is sent along to the upstreams.
    """

    request: object
    host: str
    path: str
    request_id: str
    upstream_ids: tuple
    n_records: int
    is_rest: bool
    wait_ms: float
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class GroupAnswered(_GroupEvent):
    """The node that gathers a group answered.

    Parameters
    ----------
    group : LegGroup
        The group.
    outcomes : tuple of LegOutcome
        One for each of its legs.
    body : bytes
        Merged records of the answered legs.
    """

    group: object
    outcomes: tuple
    body: bytes


@dataclass(frozen=True, slots=True)
class GroupFailed(_GroupEvent):
    """The node that was to gather a group sent no valid answer.

    Parameters
    ----------
    group : LegGroup
        The group.
    was_sent : bool
        Whether any byte may have been sent.
    is_declined : bool
        Whether that node has not begun and will not.
    reason : str
        Cause, for the log.
    """

    group: object
    was_sent: bool
    is_declined: bool
    reason: str


@dataclass(frozen=True, slots=True)
class AnswerWritten:
    """A merged answer was written to the socket, ``elapsed_ms`` after its decision."""

    elapsed_ms: float

    @property
    def request(self):
        """None, as the event is not about one request."""
        return None


@dataclass(frozen=True, slots=True)
class CallerDisconnected(_QueryEvent):
    """A caller closed its connection before it was answered."""

    query: object


@dataclass(frozen=True, slots=True)
class LegAnswered(_LegEvent):
    """An upstream's response to a leg was read completely.

    Parameters
    ----------
    leg : Leg
        The leg.
    status : int
        HTTP status.
    signature : bytes
        The upstream's signature; b"" if there is none.
    is_proven_unexecuted : bool
        Whether the upstream states that it did not run the request.
    is_other_upstream : bool
        Whether another upstream now has the address.
    load : tuple of int or None
        Running requests, waiting requests and slots, as reported by the upstream.
    response : object
        Status, headers and body, to be forwarded unchanged.
    body : bytes
        The body.
    """

    leg: object
    status: int
    signature: bytes
    is_proven_unexecuted: bool
    is_other_upstream: bool
    load: tuple | None
    response: object
    body: bytes


@dataclass(frozen=True, slots=True)
class LegFailed(_LegEvent):
    """A leg ended without a complete response.

    Parameters
    ----------
    leg : Leg
        The leg.
    was_sent : bool
        Whether any byte may have been sent.
    reason : str
        Cause, for the log.
    """

    leg: object
    was_sent: bool
    reason: str


@dataclass(frozen=True, slots=True)
class LegQueued(_LegEvent):
    """A leg waits for a connection, so no byte of it has been sent."""

    leg: object


@dataclass(frozen=True, slots=True)
class LegSent(_LegEvent):
    """A queued leg is being sent, so it may run from now on."""

    leg: object


@dataclass(frozen=True, slots=True)
class TimerExpired(_QueryEvent):
    """The time that `SetTimer` set for a query was reached."""

    query: object


@dataclass(frozen=True, slots=True)
class StopBegan:
    """A planned stop of this node began.

    Parameters
    ----------
    answer_by : float
        Time in seconds by which each request must have its final answer.
    """

    answer_by: float

    @property
    def request(self):
        """None, as the event is not about one request."""
        return None


@dataclass(frozen=True, slots=True)
class ServingEnded(_QueryEvent):
    """The node is about to exit, so a request gets its final answer now."""

    query: object
