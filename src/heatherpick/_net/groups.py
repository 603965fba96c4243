"""Groups of legs that one node sends for another, on the wire.

A group is sent as the caller's HTTP request with a few additional headers, which name
the upstreams. The answer holds the merged records as its body, and in headers the
outcome of each leg and the signatures of the answered ones. A node that gathers nothing
declines with 409, as one of an earlier version does.
"""

import orjson

from heatherpick._net.header_numbers import parse_digits
from heatherpick._net.http_client import Exchange, PeerPools
from heatherpick._serving import events as ev
from heatherpick._serving.groups import (
    ANSWERED,
    CANCELLED,
    FAILED,
    LATE,
    NOT_RUN,
    UNSENT,
    LegOutcome,
)

__all__ = [
    "GROUP_HEADERS",
    "LEGS_HEADER",
    "GroupClient",
    "encode_answer",
    "encode_group_headers",
    "read_group",
]

#: Header with the ids of the upstreams, separated by commas.
LEGS_HEADER = b"x-heatherpick-legs"
#: Header with the most records of the answer.
RECORDS_HEADER = b"x-heatherpick-records"
#: Header that distinguishes a request for the rest of an earlier group, 1 or 0.
REST_HEADER = b"x-heatherpick-rest"
#: Header with the time after which the answer is due, in milliseconds.
WAIT_HEADER = b"x-heatherpick-wait-ms"
#: Headers of the answer: the outcome of each leg as JSON, and the signatures.
OUTCOMES_HEADER = b"x-heatherpick-outcomes"
SIGNATURES_HEADER = b"x-heatherpick-signatures"
GROUP_HEADERS = frozenset({LEGS_HEADER, RECORDS_HEADER, REST_HEADER, WAIT_HEADER})
#: Codes of the outcomes.
CODES = {
    ANSWERED: "a",
    CANCELLED: "c",
    FAILED: "f",
    LATE: "l",
    NOT_RUN: "n",
    UNSENT: "u",
}
RESULTS = {code: result for result, code in CODES.items()}
#: Connect timeout to another node, in seconds.
CONNECT_TIMEOUT_S = 0.1
#: Limit on concurrent groups from one node to another; further ones are queued.
MAX_CONNECTIONS = 8
#: Status of the response that declines a group.
DECLINED_STATUS = 409


def encode_group_headers(group, wait_ms):
    """Return the header lines that make a request a group of legs."""
    ids = b",".join(leg.upstream.entry.id.encode("latin-1") for leg in group.legs)
    return b"%s: %s\r\n%s: %d\r\n%s: %d\r\n%s: %d\r\n" % (
        LEGS_HEADER,
        ids,
        RECORDS_HEADER,
        group.query.route.n_records,
        REST_HEADER,
        group.is_rest,
        WAIT_HEADER,
        wait_ms,
    )


def read_group(by_name):
    """Read the headers of a group.

    Parameters
    ----------
    by_name : dict of bytes to bytes
        Headers by lower-case name.

    Returns
    -------
    tuple or None
        Ids of the upstreams, most records, whether it is a rest, and wait in
        milliseconds; None if a header is missing or invalid.
    """
    ids = by_name.get(LEGS_HEADER, b"").decode("latin-1").split(",")
    names = (RECORDS_HEADER, REST_HEADER, WAIT_HEADER)
    numbers = [parse_digits(by_name.get(name)) for name in names]
    if not all(ids) or None in numbers:
        return None
    n_records, is_rest, wait_ms = numbers
    return tuple(ids), n_records, bool(is_rest), wait_ms


def encode_answer(outcomes):
    """Return the headers that state the outcomes of a group's legs."""
    rows = [
        [CODES[each.result], round(each.elapsed_ms, 1), *(each.load or ())]
        for each in outcomes
    ]
    signatures = [each.signature for each in outcomes if each.result == ANSWERED]
    return [
        (OUTCOMES_HEADER, orjson.dumps(rows)),
        (SIGNATURES_HEADER, b", ".join(signatures)),
    ]


def decode_answer(by_name, n_legs):
    """Return the outcomes of a group's legs; the reverse of `encode_answer`.

    Raises
    ------
    KeyError, TypeError, ValueError
        A header is missing or invalid, or there is not one outcome for each leg.
    """
    rows = orjson.loads(by_name[OUTCOMES_HEADER])
    text = by_name[SIGNATURES_HEADER]
    signatures = iter(text.split(b", ") if text else ())
    outcomes = []
    for code, elapsed_ms, *load in rows:
        result = RESULTS[code]
        signature = next(signatures, b"") if result == ANSWERED else b""
        if len(load) not in (0, 3) or (result == ANSWERED and not signature):
            raise ValueError(f"outcome {code!r} with load {load!r} is incomplete")
        outcomes.append(
            LegOutcome(
                result,
                signature,
                float(elapsed_ms),
                tuple(int(number) for number in load) or None,
            )
        )
    if len(outcomes) != n_legs or next(signatures, None) is not None:
        raise ValueError(f"{len(outcomes)} outcomes for {n_legs} legs")
    return tuple(outcomes)


class GroupClient:
    """Sends groups of legs to other nodes.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    on_event : callable
        ``on_event(event)`` receives one event for each group that is not cancelled.
    id_header : bytes
        Lower-case name of the header with a request's id.
    """

    def __init__(self, loop, on_event, id_header):
        self._on_event = on_event
        self._id_header = id_header
        self._pools = PeerPools(loop, MAX_CONNECTIONS, CONNECT_TIMEOUT_S)
        self._exchanges = {}

    def send(self, group, request_bytes):
        """Send a group, as a complete HTTP request, to its node."""
        query = group.query
        exchange = Exchange(
            request_bytes,
            self._handle_outcome,
            query.request_id.encode("latin-1"),
            self._id_header,
            expects_body=query.request.method != b"HEAD",
            context=group,
        )
        self._exchanges[group] = exchange
        self._pools[group.address].send(exchange)

    def cancel(self, group):
        """Cancel a group by closing its connection."""
        exchange = self._exchanges.pop(group, None)
        if exchange is not None:
            exchange.cancel()

    def _handle_outcome(self, exchange, response, was_sent, reason):
        group = exchange.context
        self._exchanges.pop(group, None)
        if response is None:
            self._on_event(ev.GroupFailed(group, was_sent, False, reason))
            return
        if response.status != 200:
            # Nothing but the decision to send the legs leads to status 200, so they
            # were not sent.
            reason = f"status {response.status}"
            is_declined = 400 <= response.status < 500
            self._on_event(ev.GroupFailed(group, True, is_declined, reason))
            return
        try:
            outcomes = decode_answer(response.by_name, len(group.legs))
        except (KeyError, TypeError, ValueError) as error:
            reason = f"invalid answer: {error!r}"
            self._on_event(ev.GroupFailed(group, True, False, reason))
            return
        self._on_event(ev.GroupAnswered(group, outcomes, response.body))
