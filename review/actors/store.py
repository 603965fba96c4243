"""The platform's store: objects with revisions, lists and watches over HTTP.

Names and specs are kept as the JSON text in which they were written, as bytes, and are
returned unchanged.
"""

import asyncio
import json
from urllib.parse import parse_qs, unquote

from actors.messages import format_response, read_message

HOST = "127.0.0.1"


class Store:
    """A store that is always up and answers at once."""

    def __init__(self):
        self.revision = 1
        self.address = None
        self._objects = {}
        self._changes = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self):
        """Stop listening."""
        self._server.close()

    def put(self, kind, name, spec):
        """Create or replace an object.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name, spec : object
            Name and content; bytes are taken as JSON text.
        """
        name_text = name if isinstance(name, bytes) else json.dumps(name).encode()
        spec_text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        self.revision += 1
        fields = b'{"meta":{"name":%s,"revision":%d,"created-rev":%d,' % (
            name_text,
            self.revision,
            self.revision,
        )
        fields += b'"finalizers":[],"deletion-pending":false},'
        fields += b'"spec":%s,"status":null}' % spec_text
        self._objects.setdefault(kind, {})[name_text] = (spec_text, fields)
        self._record(kind, fields, False)

    def delete(self, kind, name):
        """Delete an object."""
        self.revision += 1
        _, fields = self._objects[kind].pop(json.dumps(name).encode())
        self._record(kind, fields, True)

    def _record(self, kind, fields, is_deleted):
        self._changes.append((self.revision, kind, fields, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                writer.write(
                    format_response(
                        status, [("Content-Type", "application/json")], body
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        parameters = parse_qs(query)
        kind, _, name = unquote(path).removeprefix("/api/objects/").partition("/")
        if method == "GET" and "watch" in parameters:
            wait_s = int(parameters.get("wait-ms", ["0"])[0]) / 1000.0
            return await self._watch(kind, int(parameters["watch"][0]), wait_s)
        if method == "GET":
            items = sorted(self._objects.get(kind, {}).items())
            listed = b",".join(fields for _, (_, fields) in items)
            tail = b'"more":false,"at-rev":%d}' % self.revision
            return 200, b'{"items":[' + listed + b"]," + tail
        return self._write(method, kind, name, json.loads(request.body))

    def _write(self, method, kind, name, document):
        name_text = json.dumps(name or document["meta"]["name"]).encode()
        known = self._objects.get(kind, {}).get(name_text)
        if method == "POST" and known is not None:
            return 409, known[1]
        spec_text = json.dumps(document["spec"]).encode()
        if known is None or known[0] != spec_text:
            self.put(kind, name_text, spec_text)
        return 200, self._objects[kind][name_text][1]

    async def _watch(self, kind, revision, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + min(wait_s, 30.0)
        while True:
            events = [
                b'{"object":%s,"deleted":%s}' % (fields, b"true" if gone else b"false")
                for at, changed_kind, fields, gone in self._changes
                if at > revision and changed_kind == kind
            ]
            left_s = until - loop.time()
            if events or left_s <= 0:
                body = b'{"events":[' + b",".join(events)
                return 200, body + b'],"at-rev":%d}' % self.revision
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
