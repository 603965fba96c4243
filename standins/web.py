"""HTTP helpers shared by the servers of the stand-ins."""

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
    "read_integer",
    "reply",
]


def reply(request, status, data):
    """Set the status of ``request`` and return ``data`` as a JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    return orjson.dumps(data)


def read_json(request):
    """Return the JSON object in the body of ``request``, {} if the body is empty.

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


def check_keys(data, keys):
    """Return ``data`` if it is a JSON object with all of ``keys``.

    Raises
    ------
    ValueError
        If it is not; the message names the first key that is missing.
    """
    if not isinstance(data, dict):
        raise ValueError(f"{data!r} is not a JSON object; send one")
    missing = [key for key in keys if key not in data]
    if missing:
        raise ValueError(f"no key {missing[0]!r}; add it")
    return data


def read_integer(request, name, default):
    """Return an integer from the query string of ``request``, or ``default``.

    Raises
    ------
    ValueError
        If the value is not an integer.
    """
    values = request.args.get(name.encode())
    return int(values[0]) if values else default


def drop_connection(request):
    """Close the connection of ``request`` and return a Deferred that never fires."""
    request.transport.abortConnection()
    return Deferred()


class _RawBodyRequest(Request):
    """A request whose body is never parsed as a form.

    Twisted checks the content type for a form, which takes longer than all else that
    it does for a small request.
    """

    def requestReceived(self, command, path, version):
        """Process a request whose head and body are complete."""
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.path, _, query = path.partition(b"?")
        self.args = parse_qs(query, True)
        self.process()


class _DirectRoutes(Resource):
    """Handles some paths without klein's routing, which costs more than the call."""

    isLeaf = True

    def __init__(self, app_resource, handlers):
        super().__init__()
        self._app_resource = app_resource
        self._handlers = handlers

    def render(self, request):
        """Render a request by its path's handler, or by the app."""
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            return self._app_resource.render(request)
        try:
            result = handler(request)
        except (ValueError, KeyError, TypeError) as error:
            return reply(request, 400, {"error": str(error)})
        if not isinstance(result, Deferred):
            return result
        _finish_when_fired(request, result)
        return NOT_DONE_YET


def _finish_when_fired(request, result):
    disconnected = request.notifyFinish()

    def finish(body):
        disconnected.addErrback(lambda _: None)
        request.write(body)
        request.finish()

    disconnected.addErrback(lambda _: result.cancel())
    result.addCallbacks(finish, lambda _: None)


def make_site(app, direct_handlers=None):
    """Return a server factory of a klein ``app`` that keeps connections open.

    Parameters
    ----------
    app : klein.Klein
        Handles every request without a direct handler.
    direct_handlers : dict of (bytes, bytes) to callable, optional
        Handlers by method and path that are called without the app's routing.
    """
    site = Site(_DirectRoutes(app.resource(), direct_handlers or {}))
    site.requestFactory = _RawBodyRequest
    site.displayTracebacks = False
    site.log = lambda request: None
    return site


def announce(**fields):
    """Print ``fields`` as one JSON line, which the parent process reads."""
    print(json.dumps(fields), flush=True, file=sys.stdout)
