"""What an upstream's answer proves about each leg or order."""

import orjson
import xxhash

from heatherpick._core.events import CallEnded, OrderEnded
from heatherpick._core.messages import LegOutcome, LegStatus
from heatherpick._shell.exchanges import Reply

__all__ = ["hash_query", "read_legs_answer", "read_order_answer"]

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
#: Longest start id of an upstream, in characters.
MAX_INSTANCE_CHARS = 200
#: Longest reason of an upstream that is passed on, in characters.
MAX_REASON_CHARS = 200

_LEG_STATUSES = {
    "answered": LegStatus.ANSWERED,
    "gone": LegStatus.GONE,
    "failed": LegStatus.FAILED,
}


class _Malformed(Exception):
    """Raised when an answer is not of the agreed shape."""


def hash_query(query):
    """Return what an upstream must repeat beside the hits of a query.

    Ids tell the legs of a call apart, but not whether an upstream that works on
    several queries at once has put the hits of one beside the id of another.
    """
    return xxhash.xxh3_64_hexdigest(query.encode())


def read_legs_answer(call_id, legs, result, elapsed_ms, first_id=0):
    """Return the `CallEnded` of a call of legs.

    Parameters
    ----------
    call_id : int
        Id of the call.
    legs : tuple of CalledLeg
        Legs that the call carried.
    result : Reply or ExchangeFailure
        How the exchange ended.
    elapsed_ms : float
        Milliseconds since the call started.
    first_id : int, default=0
        Id that the call gave its first leg; the others follow on.

    Returns
    -------
    CallEnded
        One outcome for each leg, with the leg's ``index`` as its ``leg_id``.
    """
    try:
        content, status, reason = _classify(result)
        instance = _read_instance(content)
        answers = _read_legs(content) if status is None else {}
    except _Malformed as error:
        content, instance, answers = {}, "", {}
        status, reason = LegStatus.UNKNOWN, str(error)
    if status is None:
        outcomes = [_read_leg(leg, answers.get(first_id + leg.index)) for leg in legs]
    else:
        outcomes = [
            LegOutcome(leg.index, leg.spec.shard, status, reason=reason) for leg in legs
        ]
    return CallEnded(call_id, tuple(outcomes), elapsed_ms, instance)


def read_order_answer(call_id, key, result, elapsed_ms):
    """Return the `OrderEnded` of a call of an order.

    Parameters
    ----------
    call_id : int
        Id of the call.
    key : str
        Idempotency key of the order, which every answer must repeat.
    result : Reply or ExchangeFailure
        How the exchange ended.
    elapsed_ms : float
        Milliseconds since the call started.

    Returns
    -------
    OrderEnded
        ``body`` is the receipt as JSON text.
    """
    try:
        content, status, reason = _classify(result)
        instance = _read_instance(content)
        if content and content.get("key") != key:
            raise _Malformed("answer to another order")
        body = ""
        if status is None:
            status, body = LegStatus.ANSWERED, _read_receipt(content)
    except _Malformed as error:
        return OrderEnded(
            call_id, LegStatus.UNKNOWN, "", str(error), elapsed_ms=elapsed_ms
        )
    return OrderEnded(call_id, status, body, reason, elapsed_ms, instance)


def _classify(result):
    """Return the answer's content, and its status and reason if that is settled."""
    if type(result) is not Reply:
        status = LegStatus.UNKNOWN if result.sent else LegStatus.NOT_SENT
        return {}, status, result.reason
    if result.status == HTTP_OK:
        return _parse(result.body), None, ""
    content = _parse(result.body)
    # Only the agreed words prove anything: a bare 503 may come from another server
    # on the path, after the upstream has started.
    if result.status == HTTP_UNAVAILABLE and content.get("status") == "shed":
        return content, LegStatus.SHED, "shed"
    if result.status == HTTP_CONFLICT and content.get("status") == "failed":
        reason = str(content.get("reason", ""))[:MAX_REASON_CHARS]
        return content, LegStatus.FAILED, reason
    raise _Malformed(f"status {result.status}")


def _parse(body):
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _Malformed("malformed") from error
    if type(content) is not dict:
        raise _Malformed("malformed")
    return content


def _read_instance(content):
    instance = content.get("instance", "")
    if type(instance) is not str or len(instance) > MAX_INSTANCE_CHARS:
        raise _Malformed("malformed instance")
    return instance


def _read_legs(content):
    legs = content.get("legs")
    if type(legs) is not list or any(type(leg) is not dict for leg in legs):
        raise _Malformed("malformed legs")
    answers = {}
    for leg in legs:
        index = leg.get("id")
        if type(index) is not int or index in answers:
            raise _Malformed("malformed leg ids")
        answers[index] = leg
    return answers


def _read_leg(leg, answer):
    shard = leg.spec.shard
    fault = _find_fault(leg, answer)
    if fault:
        return LegOutcome(leg.index, shard, LegStatus.UNKNOWN, reason=fault)
    status = _LEG_STATUSES[answer["status"]]
    if status is not LegStatus.ANSWERED:
        return LegOutcome(leg.index, shard, status, answer["version"])
    return LegOutcome(
        leg.index, shard, status, answer["version"], tuple(answer["hits"])
    )


def _find_fault(leg, answer):
    """Return what is wrong with the answer of one leg, or ""."""
    if answer is None:
        return "missing"
    status, shard = answer.get("status"), answer.get("shard")
    if type(status) is not str or status not in _LEG_STATUSES:
        return "malformed status"
    if type(shard) is not int or shard != leg.spec.shard:
        return "wrong shard"
    if type(answer.setdefault("version", 0)) is not int:
        return "malformed version"
    if status != "answered":
        return ""
    if answer.get("query_hash") != hash_query(leg.query):
        return "answer to another query"
    return _find_fault_of_hits(answer.get("hits"), answer.get("n_hits"))


def _find_fault_of_hits(hits, n_hits):
    if type(hits) is not list or type(n_hits) is not int:
        return "malformed hits"
    if any(type(hit) is not dict for hit in hits):
        return "malformed hits"
    return "" if n_hits == len(hits) else "truncated"


def _read_receipt(content):
    if content.get("status") != "done" or "receipt" not in content:
        raise _Malformed("malformed receipt")
    return orjson.dumps(content["receipt"]).decode()
