"""Parsing of upstream responses into the outcomes of legs and orders."""

import orjson
import xxhash

from heatherpick._core.events import CallEnded, OrderEnded
from heatherpick._core.messages import LegOutcome, LegStatus
from heatherpick._shell.exchanges import HttpResponse

__all__ = ["hash_query", "parse_legs_response", "parse_order_response"]

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
#: Maximum length of an upstream's instance id, in characters. An upstream generates
#: a new one at each start.
MAX_INSTANCE_CHARS = 200
#: An upstream's failure reason is truncated to this length, in characters.
MAX_REASON_CHARS = 200

_LEG_STATUSES = {
    "answered": LegStatus.ANSWERED,
    "gone": LegStatus.GONE,
    "failed": LegStatus.FAILED,
}


class _MalformedResponse(Exception):
    """Raised when a response does not follow the upstream protocol."""


def hash_query(query):
    """Return the hash that an upstream must echo with the hits of a query.

    Leg ids only distinguish the legs of a call. They don't reveal that an upstream
    which runs several queries at once returned the hits of one under the id of
    another; the hash does.
    """
    return xxhash.xxh3_64_hexdigest(query.encode())


def parse_legs_response(call_id, legs, result, elapsed_ms, first_leg_id=0):
    """Convert the result of a call of legs into a `CallEnded`.

    Parameters
    ----------
    call_id : int
        Id of the call.
    legs : tuple of CalledLeg
        Legs sent in the call.
    result : HttpResponse or ExchangeFailure
        Result of the HTTP exchange.
    elapsed_ms : float
        Duration of the call, in milliseconds.
    first_leg_id : int, default=0
        Wire id of the call's first leg; the others are numbered consecutively.

    Returns
    -------
    CallEnded
        One outcome per leg, with the leg's ``index`` as its ``leg_id``.
    """
    try:
        content, status, reason = _classify_result(result)
        instance = _parse_instance(content)
        entries = _parse_legs(content) if status is None else {}
    except _MalformedResponse as error:
        content, instance, entries = {}, "", {}
        status, reason = LegStatus.UNKNOWN, str(error)
    if status is None:
        outcomes = [
            _build_leg_outcome(leg, entries.get(first_leg_id + leg.index))
            for leg in legs
        ]
    else:
        outcomes = [
            LegOutcome(leg.index, leg.spec.shard, status, reason=reason) for leg in legs
        ]
    return CallEnded(call_id, tuple(outcomes), elapsed_ms, instance)


def parse_order_response(call_id, key, result, elapsed_ms):
    """Convert the result of an order call into an `OrderEnded`.

    Parameters
    ----------
    call_id : int
        Id of the call.
    key : str
        Idempotency key of the order, which the upstream must echo in each response.
    result : HttpResponse or ExchangeFailure
        Result of the HTTP exchange.
    elapsed_ms : float
        Duration of the call, in milliseconds.

    Returns
    -------
    OrderEnded
        ``body`` is the receipt as JSON text.
    """
    try:
        content, status, reason = _classify_result(result)
        instance = _parse_instance(content)
        if content and content.get("key") != key:
            raise _MalformedResponse("answer to another order")
        body = ""
        if status is None:
            status, body = LegStatus.ANSWERED, _parse_receipt(content)
    except _MalformedResponse as error:
        return OrderEnded(
            call_id, LegStatus.UNKNOWN, "", str(error), elapsed_ms=elapsed_ms
        )
    return OrderEnded(call_id, status, body, reason, elapsed_ms, instance)


def _classify_result(result):
    """Return the parsed body, and the status and reason if these are final.

    A status of None means that the body of a 200 response still has to be checked.
    """
    if type(result) is not HttpResponse:
        status = LegStatus.UNKNOWN if result.sent else LegStatus.NOT_SENT
        return {}, status, result.reason
    if result.status == HTTP_OK:
        return _parse_body(result.body), None, ""
    content = _parse_body(result.body)
    # The HTTP status alone proves nothing: a 503 without the protocol's body may come
    # from an intermediary, after the upstream has started to execute the request.
    if result.status == HTTP_UNAVAILABLE and content.get("status") == "shed":
        return content, LegStatus.SHED, "shed"
    if result.status == HTTP_CONFLICT and content.get("status") == "failed":
        reason = str(content.get("reason", ""))[:MAX_REASON_CHARS]
        return content, LegStatus.FAILED, reason
    raise _MalformedResponse(f"status {result.status}")


def _parse_body(body):
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _MalformedResponse("malformed") from error
    if type(content) is not dict:
        raise _MalformedResponse("malformed")
    return content


def _parse_instance(content):
    instance = content.get("instance", "")
    if type(instance) is not str or len(instance) > MAX_INSTANCE_CHARS:
        raise _MalformedResponse("malformed instance")
    return instance


def _parse_legs(content):
    legs = content.get("legs")
    if type(legs) is not list or any(type(leg) is not dict for leg in legs):
        raise _MalformedResponse("malformed legs")
    entries = {}
    for leg in legs:
        index = leg.get("id")
        if type(index) is not int or index in entries:
            raise _MalformedResponse("malformed leg ids")
        entries[index] = leg
    return entries


def _build_leg_outcome(leg, entry):
    shard = leg.spec.shard
    error = _find_leg_error(leg, entry)
    if error:
        return LegOutcome(leg.index, shard, LegStatus.UNKNOWN, reason=error)
    status = _LEG_STATUSES[entry["status"]]
    if status is not LegStatus.ANSWERED:
        return LegOutcome(leg.index, shard, status, entry["version"])
    return LegOutcome(leg.index, shard, status, entry["version"], tuple(entry["hits"]))


def _find_leg_error(leg, entry):
    """Return the reason why a leg's entry in the response is invalid, or ""."""
    if entry is None:
        return "missing"
    status, shard = entry.get("status"), entry.get("shard")
    if type(status) is not str or status not in _LEG_STATUSES:
        return "malformed status"
    if type(shard) is not int or shard != leg.spec.shard:
        return "wrong shard"
    if type(entry.setdefault("version", 0)) is not int:
        return "malformed version"
    if status != "answered":
        return ""
    if entry.get("query_hash") != hash_query(leg.query):
        return "answer to another query"
    return _find_hits_error(entry.get("hits"), entry.get("n_hits"))


def _find_hits_error(hits, n_hits):
    if type(hits) is not list or type(n_hits) is not int:
        return "malformed hits"
    if any(type(hit) is not dict for hit in hits):
        return "malformed hits"
    return "" if n_hits == len(hits) else "truncated"


def _parse_receipt(content):
    if content.get("status") != "done" or "receipt" not in content:
        raise _MalformedResponse("malformed receipt")
    return orjson.dumps(content["receipt"]).decode()
