"""A backend that runs requests in slots, queues a few and rejects the others."""

import asyncio

from actors.messages import format_response, read_message

HOST = "127.0.0.1"
#: A body without end: bytes written at a time, and the pause between, in seconds.
ENDLESS_PIECE = b"a" * 65536
ENDLESS_PAUSE_S = 0.002
SLOTS = 2
#: Requests that wait for a slot; a backend with as many is full.
QUEUE = 8
#: Time of a request's way to the backend and back, in seconds: two zones.
ROUND_TRIP_S = 0.0028


class Backend:
    """One backend, registered in the store.

    Parameters
    ----------
    store : Store
        Where it registers.
    record : Record
        Receives each run and each rejection.
    backend_id, service, zone : str
        Its entry.
    work_s : callable
        Returns the time that the next request takes, in seconds.
    sheds : callable, optional
        Returns whether the next request is rejected as if the backend were full.
    repeats : callable, optional
        Returns whether the response just sent has a late second copy.

    Attributes
    ----------
    is_endless : bool
        Whether it sends bodies without end in place of answers.
    """

    def __init__(
        self,
        store,
        record,
        backend_id,
        service,
        zone,
        work_s,
        sheds=lambda: False,
        repeats=lambda: False,
    ):
        self.id = backend_id
        self.service = service
        self.zone = zone
        self.address = None
        self.is_endless = False
        self._store = store
        self._record = record
        self._work_s = work_s
        self._sheds = sheds
        self._repeats = repeats
        self._slots = asyncio.Semaphore(SLOTS)
        self._n_waiting = 0
        self._n_running = 0
        self._server = None

    async def start(self):
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self.register("ready")

    def register(self, state):
        """Write the entry with this state."""
        self._store.put("servers", self.id, self.make_entry(state))

    def make_entry(self, state):
        """Return the entry with this state."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold-remaining-ms": 0,
            "seq": 1,
            "born": 1,
        }

    def stop(self):
        """Stop listening; open connections are served on."""
        self._server.close()

    async def _serve(self, reader, writer):
        late_copy = b""
        try:
            while (request := await read_message(reader)) is not None:
                # The late copy comes where the next response is expected.
                if late_copy:
                    writer.write(late_copy)
                    self._record.write(
                        "second copy sent",
                        backend=self.id,
                        before=request.headers.get("request-id", ""),
                    )
                if self.is_endless:
                    await self._send_without_end(request, writer)
                    return
                response = await self._handle(request, reader)
                if response is None:
                    return
                late_copy = response if self._repeats() else b""
                if late_copy:
                    self._record.write(
                        "second copy follows",
                        backend=self.id,
                        request=request.headers.get("request-id", ""),
                        status=int(response.split(b" ")[1]),
                    )
                writer.write(response)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _send_without_end(self, request, writer):
        """Send a body without end until the caller closes the connection."""
        request_id = request.headers.get("request-id", "")
        self._record.write("body without end", backend=self.id, request=request_id)
        writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n\r\n".encode())
        while not writer.is_closing():
            writer.write(ENDLESS_PIECE)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def _handle(self, request, reader):
        """Return the response; None if the caller disconnected meanwhile."""
        await asyncio.sleep(ROUND_TRIP_S)
        request_id = request.headers.get("request-id", "")
        headers = [("Request-Id", request_id), ("Instance-Id", self.id)]
        load = f"{self._n_running},{self._n_waiting},{SLOTS}"
        headers.append(("Server-Load", load))
        if request.headers.get("target-instance") != self.id:
            return format_response(421, headers, b"")
        if self._sheds() or self._n_waiting >= QUEUE:
            self._record.write("rejected", backend=self.id, request=request_id)
            return format_response(503, [*headers, ("Not-Executed", "1")], b"")
        self._n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._n_waiting -= 1
        self._n_running += 1
        self._record.write(
            "run",
            backend=self.id,
            service=self.service,
            request=request_id,
            line=request.first,
        )
        try:
            if not await self._work(reader):
                self._record.write("caller left", backend=self.id, request=request_id)
                return None
        finally:
            self._n_running -= 1
            self._slots.release()
        seal = f"{self.id}.{request_id}"
        headers.append(("Response-Seal", seal))
        return format_response(200, headers, seal.encode())

    async def _work(self, reader):
        """Take the time of one request; return whether the caller is still there."""
        until = asyncio.get_running_loop().time() + self._work_s()
        while (left_s := until - asyncio.get_running_loop().time()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(left_s, 0.01))
        return True
