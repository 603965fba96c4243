"""What the stand-ins' HTTP servers have in common."""

import json
import sys

import orjson
from twisted.internet.defer import Deferred
from twisted.web.http import parse_qs
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

__all__ = [
    "announce",
    "check_keys",
    "drop_connection",
    "make_site",
    "read_json",
    "read_number",
    "reply",
]


def reply(request, status, data):
    """Set the status of ``request`` and return ``data`` as a JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    return orjson.dumps(data)


def read_json(request):
    """Return the JSON object in the body of ``request``, {} if it is empty.

    Raises
    ------
    ValueError
        If the body is not a JSON object.
    """
    body = request.content.read()
    data = orjson.loads(body) if body else {}
    if not isinstance(data, dict):
        raise ValueError(f"body is a {type(data).__name__}; send a JSON object")
    return data


def check_keys(data, names):
    """Return ``data`` if it is a JSON object with all of the keys ``names``.

    Raises
    ------
    ValueError
        If it is not; the message names the first key that is missing.
    """
    if not isinstance(data, dict):
        raise ValueError(f"{data!r} is not a JSON object; send one")
    missing = [name for name in names if name not in data]
    if missing:
        raise ValueError(f"no key {missing[0]!r}; add it")
    return data


def read_number(request, name, default):
    """Return a whole number from the query string of ``request``.

    Raises
    ------
    ValueError
        If it is not a whole number.
    """
    values = request.args.get(name.encode())
    return int(values[0]) if values else default


def drop_connection(request):
    """Close the connection of ``request`` and return a Deferred without result."""
    request.transport.abortConnection()
    return Deferred()


class _PlainRequest(Request):
    """A request whose body is never a form.

    Twisted looks for one by the content type, which takes it longer than all else
    that it does for a small request.
    """

    def requestReceived(self, command, path, version):
        """Take the head and body of a request that is complete."""
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, query = path.partition(b"?")
        self.args = parse_qs(query, True)
        self.process()


class _Shortcuts(Resource):
    """Some paths without klein's routing, which costs more than a call's own work."""

    isLeaf = True

    def __init__(self, app_resource, handlers):
        super().__init__()
        self._app_resource = app_resource
        self._handlers = handlers

    def render(self, request):
        """Answer a request by its path's handler, or by the app."""
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            return self._app_resource.render(request)
        try:
            result = handler(request)
        except (ValueError, KeyError, TypeError) as error:
            return reply(request, 400, {"error": str(error)})
        if not isinstance(result, Deferred):
            return result
        _finish_later(request, result)
        return NOT_DONE_YET


def _finish_later(request, result):
    closed = request.notifyFinish()

    def finish(body):
        closed.addErrback(lambda _: None)
        request.write(body)
        request.finish()

    closed.addErrback(lambda _: result.cancel())
    result.addCallbacks(finish, lambda _: None)


def make_site(app, shortcuts=None):
    """Return a server factory of a klein ``app`` that keeps connections open.

    Parameters
    ----------
    app : klein.Klein
        Answers every request that has no shortcut.
    shortcuts : dict of (bytes, bytes) to callable, optional
        Handlers by method and path that are called past the app.
    """
    site = Site(_Shortcuts(app.resource(), shortcuts or {}))
    site.requestFactory = _PlainRequest
    site.displayTracebacks = False
    site.log = lambda request: None
    return site


def announce(**fields):
    """Print one JSON line that tells the starter of this process that it is up."""
    print(json.dumps(fields), flush=True, file=sys.stdout)
