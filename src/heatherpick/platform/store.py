"""Client of the platform's object store."""

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
        """Read all pages of the objects of a kind."""
        return self._list_page(kind, "", [], on_done)

    def watch_objects(self, kind, revision, on_done):
        """Wait for changes of a kind after a revision."""

        def handle_changes(status, document):
            if status == 410:
                on_done(HistoryGone())
            elif status != 200:
                on_done(StoreFailure(document))
            else:
                events = document.get("events") or ()
                objects = tuple(
                    _read_object(event.get("object"), bool(event.get("deleted")))
                    for event in events
                )
                on_done(Changes(_drop_unnamed(objects), int(document["at-rev"])))

        path = f"{OBJECTS_PATH}{kind}?watch={revision}&wait-ms={MAX_WATCH_MS}"
        return self._get(
            path, MAX_WATCH_MS / 1000.0 + RESPONSE_TIMEOUT_S, handle_changes
        )

    def read_revision(self, on_done):
        """Read the store's revision from the smallest list.

        A stale read would cost less, but it lags by seconds in exactly those outages in
        which watches send no events.
        """

        def handle_revision(status, document):
            is_success = status == 200
            on_done(int(document["at-rev"]) if is_success else StoreFailure(document))

        return self._get(
            f"{OBJECTS_PATH}{DRAINED_KIND}", RESPONSE_TIMEOUT_S, handle_revision
        )

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
            on_done(None if status in (200, 201) else StoreFailure(reason))

        cancel_open_call = self._send(
            b"POST",
            f"{OBJECTS_PATH}{kind}",
            document,
            RESPONSE_TIMEOUT_S,
            handle_created,
        )
        return lambda: cancel_open_call()

    def _list_page(self, kind, after, objects, on_done):
        """Read the page behind the name ``after`` and all further ones.

        ``objects`` holds those of earlier pages and is extended.
        """

        def handle_page(status, document):
            if status != 200:
                on_done(StoreFailure(document))
                return
            page = document.get("items") or ()
            objects.extend(_read_object(fields, False) for fields in page)
            # The listing gets the lowest revision of its pages, so that the watch that
            # follows repeats any change made between two of them.
            page_revision = revisions.setdefault("first", int(document["at-rev"]))
            if document.get("more") and page:
                last_name = page[-1]["meta"]["name"]
                self._list_page(
                    kind,
                    last_name,
                    objects,
                    lambda result: on_done(_limit_revision(result, page_revision)),
                )
            else:
                on_done(Listing(_drop_unnamed(objects), page_revision))

        revisions = {}
        path = f"{OBJECTS_PATH}{kind}" + (f"?after={after}" if after else "")
        return self._get(path, RESPONSE_TIMEOUT_S, handle_page)

    def _get(self, path, timeout_s, on_response):
        return self._send(b"GET", path, None, timeout_s, on_response)

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
            ``on_response(status, document)`` is called once unless the call is
            cancelled. For a failed call it gets the reason, a str, as the document,
            with status 0 if there was no valid response.
        """
        self._counters.count("store_calls")

        def handle_outcome(_exchange, response, _was_sent, reason):
            timer.cancel()
            self._handle_response(response, reason, on_response, document is None)

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

    def _handle_response(self, response, reason, on_response, is_read):
        if response is None:
            on_response(0, reason)
            return
        if response.status not in (200, 201):
            on_response(response.status, f"status {response.status}")
            return
        try:
            document = _decode(response.body)
            if is_read:
                int(document["at-rev"])
        except (ValueError, KeyError, TypeError) as error:
            on_response(0, f"invalid response: {error!r}")
            return
        on_response(response.status, document)


def _decode(body):
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        # Invalid UTF-8 in one object must not hide the objects of other writers.
        return orjson.loads(body.decode("utf-8", "replace"))


def _limit_revision(result, revision):
    """Return a listing with at most this revision, and a failure as it is."""
    if type(result) is Listing:
        return Listing(result.objects, min(result.revision, revision))
    return result


def _read_object(fields, is_deleted):
    """Return the `StoredObject`, or None for an object without a name."""
    meta = fields.get("meta") if isinstance(fields, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(name, str):
        return None
    # An object that only waits for its finalizers counts as deleted.
    is_deleted = is_deleted or bool(meta.get("deletion-pending"))
    return StoredObject(name, fields.get("spec"), is_deleted)


def _drop_unnamed(objects):
    return tuple(stored for stored in objects if stored is not None)
