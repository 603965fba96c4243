"""Parsing of responses of the platform's object API into events."""

import orjson

from heatherpick._core.events import (
    DocumentSeen,
    ObjectConflict,
    ObjectFailed,
    ObjectRead,
    ObjectWritten,
    VmsListed,
)
from heatherpick._shell.exchanges import ExchangeFailure
from heatherpick.errors import FrameError

__all__ = [
    "WATCH_PREFIX",
    "parse_vms_response",
    "parse_watch_response",
    "parse_read_response",
    "parse_write_response",
]

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
#: Name prefix of the documents that the watch covers.
WATCH_PREFIX = "shared/"


def parse_read_response(effect, result):
    """Convert the result of a `ReadObject` into its event.

    Parameters
    ----------
    effect : ReadObject
        Effect that caused the exchange.
    result : HttpResponse or ExchangeFailure
        Result of the HTTP exchange.

    Returns
    -------
    ObjectRead or ObjectFailed
    """
    if type(result) is not ExchangeFailure and result.status == HTTP_NOT_FOUND:
        return ObjectRead(effect.token, effect.name, 0, "")
    try:
        content = _parse_body(result, HTTP_OK)
        return ObjectRead(effect.token, effect.name, *_parse_object(content, effect))
    except FrameError:
        return _build_failure(effect, result)


def parse_write_response(effect, result):
    """Convert the result of a `WriteObject` into its event.

    Parameters
    ----------
    effect : WriteObject
        Effect that caused the exchange.
    result : HttpResponse or ExchangeFailure
        Result of the HTTP exchange.

    Returns
    -------
    ObjectWritten, ObjectConflict or ObjectFailed
    """
    try:
        content = _parse_body(result, HTTP_OK, HTTP_CONFLICT)
        if result.status == HTTP_OK:
            version = _parse_non_negative_int(content, "version")
            return ObjectWritten(effect.token, effect.name, version)
        version, body = _parse_object(content, effect)
        return ObjectConflict(effect.token, effect.name, version, body)
    except FrameError:
        return _build_failure(effect, result)


def parse_watch_response(result):
    """Parse a watch response into its revision and documents.

    Parameters
    ----------
    result : HttpResponse or ExchangeFailure
        Result of the HTTP exchange.

    Returns
    -------
    tuple of (int, list of DocumentSeen)

    Raises
    ------
    FrameError
        There is no complete response, or it does not follow the platform's API.
    """
    content = _parse_body(result, HTTP_OK)
    objects = content.get("objects")
    if type(objects) is not list:
        raise FrameError("objects of a watch are not a list")
    documents = [_parse_document(item) for item in objects]
    return _parse_non_negative_int(content, "revision"), documents


def parse_vms_response(result):
    """Parse the response to a `ListVms` into a `VmsListed`.

    Parameters
    ----------
    result : HttpResponse or ExchangeFailure
        Result of the HTTP exchange.

    Returns
    -------
    VmsListed

    Raises
    ------
    FrameError
        There is no complete response, or it does not follow the platform's API.
    """
    content = _parse_body(result, HTTP_OK)
    return VmsListed(_parse_names(content, "live"), _parse_names(content, "leaving"))


def _build_failure(effect, result):
    sent = type(result) is not ExchangeFailure or result.sent
    return ObjectFailed(effect.token, effect.name, sent)


def _parse_body(result, *statuses):
    if type(result) is ExchangeFailure:
        raise FrameError(f"no answer of the platform: {result.reason}")
    if result.status not in statuses:
        raise FrameError(f"the platform answered with status {result.status}")
    try:
        content = orjson.loads(result.body)
    except orjson.JSONDecodeError as error:
        raise FrameError("answer of the platform is not JSON") from error
    if type(content) is not dict:
        raise FrameError("answer of the platform is not an object")
    return content


def _parse_non_negative_int(content, key):
    number = content.get(key)
    if type(number) is not int or number < 0:
        raise FrameError(f"{key} {number!r:.40} of the platform is not a number")
    return number


def _parse_object(content, effect):
    if content.get("name") != effect.name:
        raise FrameError(f"the platform answered about {content.get('name')!r:.80}")
    return _parse_version_and_body(content)


def _parse_version_and_body(content):
    version = _parse_non_negative_int(content, "version")
    body = content.get("body")
    if version == 0 and body is None:
        return version, ""
    if type(body) is not str:
        raise FrameError("body of an object is not text")
    return version, body


def _parse_document(content):
    name = content.get("name") if type(content) is dict else None
    if type(name) is not str or not name.startswith(WATCH_PREFIX):
        raise FrameError(f"watch gave {name!r:.80}")
    return DocumentSeen(name, *_parse_version_and_body(content))


def _parse_names(content, key):
    names = content.get(key)
    if type(names) is not list or any(type(name) is not str for name in names):
        raise FrameError(f"{key} is not a list of names")
    return frozenset(names)
