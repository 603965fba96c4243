"""The platform's object store behind the product's port."""

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

PATH = "/api/objects/"
#: How long a watch may wait for a change, in milliseconds; the platform's maximum.
WATCH_MS = 30_000
#: Time within which an answer must be here, beyond the wait that was asked for, in
#: seconds.
ANSWER_S = 1.0
#: Connections to the store; each watch holds one.
MAX_CONNECTIONS = 8
#: Longest wait for a new connection, in seconds; the store may be slow.
CONNECT_TIMEOUT_S = 1.0


class PlatformStore(SharedStore):
    """Reads objects by HTTP.

    Parameters
    ----------
    loop : EventLoop
        Runs the exchanges.
    host, port : str, int
        Address of the store.
    counters : Counters
        Counts the calls, each of which has a price.
    """

    def __init__(self, loop, host, port, counters):
        self._loop = loop
        self._host = f"{host}:{port}".encode()
        self._counters = counters
        self._pool = ConnectionPool(
            loop, host, port, MAX_CONNECTIONS, CONNECT_TIMEOUT_S
        )

    def list_objects(self, kind, done):
        """Read all pages of a kind."""
        return self._list_page(kind, "", [], done)

    def watch_objects(self, kind, revision, done):
        """Wait for changes after a revision."""

        def take(status, document):
            if status == 410:
                done(HistoryGone())
            elif status != 200:
                done(StoreFailure(document))
            else:
                events = document.get("events") or ()
                objects = tuple(
                    _read_object(each.get("object"), bool(each.get("deleted")))
                    for each in events
                )
                done(Changes(_keep_named(objects), int(document["at-rev"])))

        path = f"{PATH}{kind}?watch={revision}&wait-ms={WATCH_MS}"
        return self._get(path, WATCH_MS / 1000.0 + ANSWER_S, take)

    def read_revision(self, done):
        """Read the smallest list.

        A stale read would be cheaper, but stays seconds behind in just the disturbance
        that silences watches.
        """

        def take(status, document):
            is_whole = status == 200
            done(int(document["at-rev"]) if is_whole else StoreFailure(document))

        return self._get(f"{PATH}{DRAINED_KIND}", ANSWER_S, take)

    def put_object(self, kind, name, value, done):
        """Create the object; if there is one, replace it."""
        document = {"meta": {"name": name}, "spec": value}

        def take_created(status, reason):
            if status == 409:
                self._send(
                    b"PUT", f"{PATH}{kind}/{name}", document, ANSWER_S, take_replaced
                )
            else:
                take_replaced(status, reason)

        def take_replaced(status, reason):
            done(None if status in (200, 201) else StoreFailure(reason))

        return self._send(b"POST", f"{PATH}{kind}", document, ANSWER_S, take_created)

    def _list_page(self, kind, after, objects, done):
        def take(status, document):
            if status != 200:
                done(StoreFailure(document))
                return
            page = document.get("items") or ()
            objects.extend(_read_object(each, False) for each in page)
            # Changes between two pages are seen again by the watch from the first.
            objects_revision = revisions.setdefault("first", int(document["at-rev"]))
            if document.get("more") and page:
                last = page[-1]["meta"]["name"]
                self._list_page(
                    kind,
                    last,
                    objects,
                    lambda result: done(_lower(result, objects_revision)),
                )
            else:
                done(Listing(_keep_named(objects), objects_revision))

        revisions = {}
        path = f"{PATH}{kind}" + (f"?after={after}" if after else "")
        return self._get(path, ANSWER_S, take)

    def _get(self, path, timeout_s, take):
        return self._send(b"GET", path, None, timeout_s, take)

    def _send(self, method, path, document, timeout_s, take):
        """Send a call; ``take(status, document)`` gets a reason if it failed."""
        self._counters.count("store_calls")

        def finish(_exchange, answer, _was_sent, reason):
            timer.cancel()
            self._interpret(answer, reason, take, document is None)

        def expire():
            exchange.cancel()
            take(0, "timeout")

        data = b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path.encode(), self._host)
        if document is not None:
            body = orjson.dumps(document)
            data += b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (
                len(body)
            )
            data += body
        else:
            data += b"\r\n"
        exchange = Exchange(data, finish)
        timer = self._loop.call_later(timeout_s, expire)
        self._pool.send(exchange)

        def give_up():
            timer.cancel()
            exchange.cancel()

        return give_up

    def _interpret(self, answer, reason, take, is_read):
        if answer is None:
            take(0, reason)
            return
        if answer.status not in (200, 201):
            take(answer.status, f"status {answer.status}")
            return
        try:
            document = _decode(answer.body)
            if is_read:
                int(document["at-rev"])
        except (ValueError, KeyError, TypeError) as error:
            take(0, f"unreadable answer: {error!r}")
            return
        take(answer.status, document)


def _decode(body):
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        # One writer's damaged bytes must not hide everybody else's objects.
        return orjson.loads(body.decode("utf-8", "replace"))


def _lower(result, revision):
    if type(result) is Listing:
        return Listing(result.objects, min(result.revision, revision))
    return result


def _read_object(fields, is_deleted):
    meta = fields.get("meta") if isinstance(fields, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(name, str):
        return None
    # An object that only waits for its finalizers is as good as gone.
    is_deleted = is_deleted or bool(meta.get("deletion-pending"))
    return StoredObject(name, fields.get("spec"), is_deleted)


def _keep_named(objects):
    return tuple(each for each in objects if each is not None)
