"""Client of the platform's object store."""

import re

import orjson

from heatherpick._fleet.copies import (
    Changes,
    HistoryGone,
    Listing,
    SharedStore,
    StoredObject,
    StoreFailure,
)
from heatherpick._net.http_client import ConnectionPool, Exchange
from heatherpick._net.json_pieces import decode_leniently
from heatherpick.platform.wire import DRAINED_KIND

__all__ = ["PlatformStore"]

OBJECTS_PATH = "/api/objects/"
#: Longest wait of a watch for a change, in milliseconds; the platform's maximum.
MAX_WATCH_MS = 30_000
#: Timeout for a response in seconds, in addition to the wait that a watch asks for.
RESPONSE_TIMEOUT_S = 1.0
#: Most connections to the store; each watch occupies one.
MAX_CONNECTIONS = 8
#: Timeout for opening a connection, in seconds; it is long, as the store may be slow.
CONNECT_TIMEOUT_S = 1.0
#: Levels of a document above an object's members, which other writers control: the
#: document, its list and an object; in a watch there is an event as well.
N_LIST_LEVELS = 3
N_WATCH_LEVELS = 4
#: What a document raises that is not as the platform describes it.
DOCUMENT_ERRORS = (ValueError, KeyError, TypeError, AttributeError, OverflowError)
# The name of an object in the text of a page.
_NAME = re.compile(rb'"meta"\s*+:\s*+\{\s*+"name"\s*+:\s*+"((?:[^"\\]|\\.)*+)"')
_RESERVED = re.compile(rb"[^A-Za-z0-9._~-]")


class PlatformStore(SharedStore):
    """Reads and writes objects over HTTP.

    Parameters
    ----------
    loop : EventLoop
        Runs the connections.
    host, port : str, int
        Address of the store.
    counters : Counters
        Counts the calls to the store, as each of them has a cost.
    """

    def __init__(self, loop, host, port, counters):
        self._loop = loop
        self._host = f"{host}:{port}".encode()
        self._counters = counters
        self._pool = ConnectionPool(
            loop, host, port, MAX_CONNECTIONS, CONNECT_TIMEOUT_S
        )

    def list_objects(self, kind, on_done):
        """Read all pages of the objects of a kind.

        Returns
        -------
        callable
            Cancels the call that is open, of one for each page.
        """
        objects = []
        revisions = []

        # An object whose name is odd may lead back to a page that was read.
        read_after = set()

        def read_page(after):
            nonlocal cancel_open_call
            read_after.add(after)
            path = f"{OBJECTS_PATH}{kind}" + (f"?after={after}" if after else "")
            cancel_open_call = self._send(
                b"GET",
                path,
                None,
                RESPONSE_TIMEOUT_S,
                handle_page,
            )

        def handle_page(status, body):
            page = _decode_response(status, body, N_LIST_LEVELS, _decode_page)
            if type(page) is StoreFailure:
                on_done(page)
                return
            page_objects, revision, has_more = page
            objects.extend(page_objects)
            revisions.append(revision)
            next_after = _find_last_name(page_objects, body)
            if has_more and next_after not in read_after:
                read_page(next_after)
            else:
                # The listing gets the lowest revision of its pages, so that the watch
                # that follows repeats any change made between two of them.
                on_done(Listing(tuple(objects), min(revisions)))

        cancel_open_call = None
        read_page("")
        return lambda: cancel_open_call()

    def watch_objects(self, kind, revision, on_done):
        """Wait for changes of a kind after a revision."""

        def handle_changes(status, body):
            if status == 410:
                on_done(HistoryGone())
                return
            on_done(_decode_response(status, body, N_WATCH_LEVELS, _decode_changes))

        path = f"{OBJECTS_PATH}{kind}?watch={revision}&wait-ms={MAX_WATCH_MS}"
        timeout_s = MAX_WATCH_MS / 1000.0 + RESPONSE_TIMEOUT_S
        return self._send(b"GET", path, None, timeout_s, handle_changes)

    def read_revision(self, on_done):
        """Read the store's revision from the smallest list.

        A stale read would cost less, but it lags by seconds in exactly those outages in
        which watches send no events.
        """

        def handle_revision(status, body):
            on_done(_decode_response(status, body, N_LIST_LEVELS, _read_revision))

        path = f"{OBJECTS_PATH}{DRAINED_KIND}"
        return self._send(b"GET", path, None, RESPONSE_TIMEOUT_S, handle_revision)

    def put_object(self, kind, name, value, on_done):
        """Create an object, or replace it if it exists.

        Returns
        -------
        callable
            Cancels the call that is open, of the two that it may take.
        """
        document = {"meta": {"name": name}, "spec": value}

        def handle_created(status, reason):
            nonlocal cancel_open_call
            if status == 409:
                cancel_open_call = self._send(
                    b"PUT",
                    f"{OBJECTS_PATH}{kind}/{name}",
                    document,
                    RESPONSE_TIMEOUT_S,
                    handle_replaced,
                )
            else:
                handle_replaced(status, reason)

        def handle_replaced(status, reason):
            is_done = status in (200, 201)
            on_done(
                None if is_done else StoreFailure(_describe_failure(status, reason))
            )

        cancel_open_call = self._send(
            b"POST",
            f"{OBJECTS_PATH}{kind}",
            document,
            RESPONSE_TIMEOUT_S,
            handle_created,
        )
        return lambda: cancel_open_call()

    def _send(self, method, path, document, timeout_s, on_response):
        """Send a call; return a function that cancels it.

        Parameters
        ----------
        method : bytes
            HTTP method.
        path : str
            Path and query.
        document : dict or None
            JSON body of a write; None for a read.
        timeout_s : float
            Timeout for the whole call in seconds.
        on_response : callable
            ``on_response(status, body)`` is called once unless the call is cancelled.
            If there was no response, the status is 0, and a str in place of the body
            says why.
        """
        self._counters.count("store_calls")

        def handle_outcome(_exchange, response, _was_sent, reason):
            timer.cancel()
            if response is None:
                on_response(0, reason)
            else:
                on_response(response.status, response.body)

        def handle_timeout():
            exchange.cancel()
            on_response(0, "timeout")

        data = b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path.encode(), self._host)
        if document is not None:
            body = orjson.dumps(document)
            data += b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (
                len(body)
            )
            data += body
        else:
            data += b"\r\n"
        exchange = Exchange(data, handle_outcome)
        timer = self._loop.call_later(timeout_s, handle_timeout)
        self._pool.send(exchange)

        def cancel():
            timer.cancel()
            exchange.cancel()

        return cancel


def _decode_response(status, body, n_levels, decode):
    """Return what ``decode`` makes of a response's document, or a `StoreFailure`."""
    if status != 200:
        return StoreFailure(_describe_failure(status, body))
    try:
        return decode(decode_leniently(body, n_levels))
    except DOCUMENT_ERRORS as error:
        return StoreFailure(f"invalid response: {error!r:.200}")


def _describe_failure(status, body):
    return f"status {status}" if status else body


def _read_revision(document):
    return int(document["at-rev"])


def _decode_page(document):
    """Return the objects of a page, its revision, and whether there are more pages."""
    objects = [_read_object(each, False) for each in document["items"]]
    return _drop_unnamed(objects), _read_revision(document), bool(document.get("more"))


def _decode_changes(document):
    events = [each for each in document.get("events", ()) if isinstance(each, dict)]
    objects = [
        _read_object(event.get("object"), bool(event.get("deleted")))
        for event in events
    ]
    return Changes(_drop_unnamed(objects), _read_revision(document))


def _find_last_name(objects, body):
    """Return the name behind which the next page begins, quoted for a query.

    If no name of a page can be decoded, it is taken from the text of the page.
    """
    if objects:
        name = objects[-1].name.encode()
    else:
        name = (_NAME.findall(body) or [b""])[-1]
    return _RESERVED.sub(lambda match: b"%%%02X" % ord(match[0]), name).decode()


def _read_object(fields, is_deleted):
    """Return the `StoredObject`, or None for an object without a name.

    A value that this node could not pass on to other nodes counts as undecodable.
    """
    meta = fields.get("meta") if isinstance(fields, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(name, str):
        return None
    # An object that only waits for its finalizers counts as deleted.
    is_deleted = is_deleted or bool(meta.get("deletion-pending"))
    value = fields.get("spec")
    return StoredObject(name, value if _is_encodable(value) else None, is_deleted)


def _is_encodable(value):
    try:
        # The encoder takes less deeply nested values than the decoder. A response to
        # other nodes adds some levels.
        orjson.dumps([[[[[[[[value]]]]]]]])
    except orjson.JSONEncodeError:
        return False
    return True


def _drop_unnamed(objects):
    return tuple(stored for stored in objects if stored is not None)
