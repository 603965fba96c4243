"""Validation of caller requests; each error names the field and how to fix it."""

from math import isfinite

import orjson

from heatherpick.errors import InvalidArgument

__all__ = [
    "check_content",
    "check_deadline",
    "check_key",
    "check_kind",
    "check_traceparent",
]

#: Minimum and maximum deadline of a request, in milliseconds.
MIN_DEADLINE_MS = 1.0
MAX_DEADLINE_MS = 600_000.0
#: Maximum length of an idempotency key, in characters.
MAX_KEY_CHARS = 128
#: Maximum length of a numeric header value, in characters.
MAX_NUMBER_CHARS = 32

_KINDS = ("query", "order")
_VERSION_CHARS, _TRACE_CHARS, _SPAN_CHARS, _FLAGS_CHARS = 2, 32, 16, 2
_HEX = frozenset("0123456789abcdef")


def check_content(text):
    """Parse a request body into its kind and JSON text.

    Parameters
    ----------
    text : bytes
        ``{"query": ...}`` or ``{"order": ...}``.

    Returns
    -------
    tuple of (str, str)
        ``"query"`` or ``"order"``, and its value as JSON text.

    Raises
    ------
    InvalidArgument
        The body is not a JSON object with exactly one of the fields ``query`` and
        ``order``, or its value cannot be serialised, such as one nested too deeply.

    Examples
    --------
    >>> check_content(b'{"query": {"text": "oak"}}')
    ('query', '{"text":"oak"}')
    """
    try:
        content = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise InvalidArgument(f"body: not JSON: {error}") from error
    if type(content) is not dict:
        raise InvalidArgument('body: send an object such as {"query": ...}')
    for name in content:
        if name not in _KINDS:
            raise InvalidArgument(f"{name!r:.80}: unknown field; remove it")
    if len(content) != 1:
        raise InvalidArgument("body: send exactly one of query and order")
    ((kind, value),) = content.items()
    return kind, _format(kind, value)


def _format(kind, value):
    try:
        return orjson.dumps(value).decode()
    except orjson.JSONEncodeError as error:
        raise InvalidArgument(f"{kind}: {error}; nest it less deeply") from error


def check_kind(kind, service, repeatable):
    """Check that a service accepts requests of this kind.

    Parameters
    ----------
    kind : str
        ``"query"`` or ``"order"``.
    service : str
        Name of the service.
    repeatable : bool
        Whether the service accepts queries, which may be executed more than once,
        rather than orders.

    Raises
    ------
    InvalidArgument
        A query was sent to a service for orders, or vice versa.
    """
    expected = "query" if repeatable else "order"
    if kind != expected:
        raise InvalidArgument(f"{kind}: service {service!r} takes {expected!r} instead")


def check_deadline(text):
    """Parse a deadline in milliseconds; None if the header is absent.

    Parameters
    ----------
    text : str or None
        Value of the ``Deadline-Ms`` header.

    Returns
    -------
    float or None

    Raises
    ------
    InvalidArgument
        The value is not a number from 1 to 600000.

    Examples
    --------
    >>> check_deadline("150")
    150.0
    """
    if text is None:
        return None
    deadline_ms = _read_number(text)
    if deadline_ms is None or not MIN_DEADLINE_MS <= deadline_ms <= MAX_DEADLINE_MS:
        raise InvalidArgument(
            f"Deadline-Ms: {text!r:.40} is not a number of milliseconds from"
            f" {MIN_DEADLINE_MS:.0f} to {MAX_DEADLINE_MS:.0f}"
        )
    return deadline_ms


def _read_number(text):
    if len(text) > MAX_NUMBER_CHARS:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if isfinite(number) else None


def check_key(kind, text):
    """Return the validated idempotency key of an order, or "" for a query.

    Parameters
    ----------
    kind : str
        ``"query"`` or ``"order"``.
    text : str or None
        Value of the ``Idempotency-Key`` header.

    Returns
    -------
    str

    Raises
    ------
    InvalidArgument
        An order has no key, or its key is too long or contains characters other
        than printable ASCII.

    Examples
    --------
    >>> check_key("order", "week-14")
    'week-14'
    """
    if kind != "order":
        return ""
    if not text:
        raise InvalidArgument("Idempotency-Key: an order needs one; send the header")
    if len(text) > MAX_KEY_CHARS:
        raise InvalidArgument(
            f"Idempotency-Key: {len(text)} characters; send at most {MAX_KEY_CHARS}"
        )
    if not (text.isascii() and text.isprintable()):
        raise InvalidArgument(
            f"Idempotency-Key: {text!r:.80} holds other than printable ASCII"
        )
    return text


def check_traceparent(text):
    """Return a W3C trace context, or "" if it is absent or malformed.

    A malformed context is ignored, as the W3C recommendation requires.

    Parameters
    ----------
    text : str or None
        Value of the ``traceparent`` header.

    Returns
    -------
    str
    """
    parts = text.split("-") if text else []
    lengths = tuple(map(len, parts))
    if lengths != (_VERSION_CHARS, _TRACE_CHARS, _SPAN_CHARS, _FLAGS_CHARS):
        return ""
    version, trace_id, span_id, _ = parts
    if version == "ff" or not _HEX.issuperset("".join(parts)):
        return ""
    if not trace_id.strip("0") or not span_id.strip("0"):
        return ""
    return text
