"""What the stand-ins' HTTP servers have in common."""

import json
import sys

import orjson
from twisted.internet.defer import Deferred
from twisted.web.server import Site

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


def make_site(app):
    """Return a server factory of a klein ``app`` that keeps connections open."""
    site = Site(app.resource())
    site.displayTracebacks = False
    site.log = lambda request: None
    return site


def announce(**fields):
    """Print one JSON line that tells the starter of this process that it is up."""
    print(json.dumps(fields), flush=True, file=sys.stdout)
