"""Processor time of one call to an upstream and of one hop between nodes.

Each transport runs in its own process against a server in another process, so
that only the client's processor time is measured. Run it as
``python -m bench.transports``; it prints one JSON line for each figure.
"""

import argparse
import asyncio
import json
import socket
import subprocess
import sys
import time

import grpc
import orjson
import treq
from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import Int32StringReceiver

from heatherpick._core.messages import (
    LegBatch,
    LegOutcome,
    LegResults,
    LegSpec,
    LegStatus,
)
from heatherpick._shell.codec import decode_message, encode_message

N_CALLS = 2000
N_WARM_UP = 200
N_IN_FLIGHT = 16
#: Numbers of legs in one call to an upstream and in one hop between nodes.
LEG_COUNTS = {"leg_cpu": (1, 16), "peer_hop_cpu": (1, 14)}
US_PER_S = 1e6
CHILD_TIMEOUT_S = 60
QUERY = '{"text":"oak","mill":"any"}'
HITS = tuple({"id": f"finding-{index}", "score": 0.5} for index in range(3))
GRPC_METHOD = "/heatherpick.Peer/Send"


def build_batch(n_legs):
    """Return the bytes of a `LegBatch`."""
    legs = tuple(LegSpec(each, f"up-{each}", each) for each in range(n_legs))
    return encode_message(
        LegBatch("r" * 32, "desk", "findings", 7, 0, 180.0, QUERY, "", legs)
    )


def build_results(n_legs):
    """Return the bytes of the `LegResults` that answer a batch."""
    outcomes = tuple(
        LegOutcome(each, each, LegStatus.ANSWERED, 7, HITS, "", 3.0)
        for each in range(n_legs)
    )
    return encode_message(LegResults("r" * 32, outcomes))


def build_legs_body(n_legs):
    """Return the body of a call with ``n_legs`` legs."""
    legs = [
        {"id": each, "shard": each, "version": 7, "query": orjson.Fragment(QUERY)}
        for each in range(n_legs)
    ]
    return orjson.dumps({"deadline_ms": 180.0, "legs": legs})


class LegServer(Protocol):
    """Answers each POST with as many legs as its path says."""

    def connectionMade(self):
        """Initialise the receive buffer."""
        self._data = b""

    def dataReceived(self, data):
        """Answer each complete request."""
        self._data += data
        while self._answer_request():
            pass

    def _answer_request(self):
        head, blank, rest = self._data.partition(b"\r\n\r\n")
        if not blank:
            return False
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        if len(rest) < length:
            return False
        self._data = rest[length:]
        self.transport.write(build_legs_response(int(head.split()[1].strip(b"/"))))
        return True


def build_legs_response(n_legs):
    """Return the bytes of an HTTP response with ``n_legs`` legs."""
    legs = [
        {
            "id": each,
            "status": "answered",
            "shard": each,
            "version": 7,
            "n_hits": len(HITS),
            "hits": HITS,
        }
        for each in range(n_legs)
    ]
    body = orjson.dumps({"instance": "i", "load": 0.1, "legs": legs})
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


class FrameServer(Int32StringReceiver):
    """Answers each batch with its results."""

    def stringReceived(self, frame):
        """Answer one batch."""
        self.sendString(build_results(len(decode_message(frame).legs)))


class FrameClient(Int32StringReceiver):
    """Sends a batch and waits for its results, in order."""

    def __init__(self):
        self.pending = []

    def send(self, n_legs):
        """Send one batch and return the Deferred of its answer."""
        answer = Deferred()
        self.pending.append(answer)
        self.sendString(build_batch(n_legs))
        return answer

    def stringReceived(self, frame):
        """Complete the oldest pending request."""
        self.pending.pop(0).callback(decode_message(frame))


def install_reactor(on_asyncio):
    """Return the usual reactor, or the slower one on asyncio that grpc.aio needs.

    grpc.aio hangs without an error unless the reactor's loop is also the current
    event loop.
    """
    if on_asyncio:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor


def serve(kind, port):
    """Serve one kind of client until killed."""
    if kind == "grpc":
        asyncio.run(serve_grpc(port))
        return
    reactor = install_reactor(on_asyncio=False)
    protocol = LegServer if kind == "http" else FrameServer
    reactor.listenTCP(port, Factory.forProtocol(protocol), interface="127.0.0.1")
    reactor.run()


async def serve_grpc(port):
    """Serve a generic unary method on bytes, without generated code."""

    async def answer(request, _context):
        return build_results(len(decode_message(request).legs))

    handler = grpc.unary_unary_rpc_method_handler(answer)
    service, method = GRPC_METHOD.strip("/").split("/")
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(service, {method: handler}),)
    )
    server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    await server.wait_for_termination()


async def build_treq(reactor, port, n_legs):
    """Return a call through treq."""
    from treq.client import HTTPClient

    client = HTTPClient(build_agent(reactor))
    url = f"http://127.0.0.1:{port}/{n_legs}"
    headers = {b"content-type": [b"application/json"]}

    async def call():
        body = build_legs_body(n_legs)
        response = await client.post(url, data=body, headers=headers)
        return orjson.loads(await treq.content(response))

    return call


async def build_plain_agent(reactor, port, n_legs):
    """Return a call through twisted's agent."""
    from twisted.web.client import readBody
    from twisted.web.http_headers import Headers

    from heatherpick._shell.exchanges import _BodyProducer

    agent = build_agent(reactor)
    url = f"http://127.0.0.1:{port}/{n_legs}".encode()

    async def call():
        headers = Headers({b"content-type": [b"application/json"]})
        producer = _BodyProducer(build_legs_body(n_legs))
        response = await agent.request(b"POST", url, headers, producer)
        return orjson.loads(await readBody(response))

    return call


async def build_exchange(reactor, port, n_legs):
    """Return a call through the node's `ExchangePool`."""
    from heatherpick._shell.exchanges import ExchangePool

    pool = ExchangePool(reactor)
    address, path = f"127.0.0.1:{port}", f"/{n_legs}".encode()

    def call():
        done = Deferred()
        body = build_legs_body(n_legs)
        pool.request(b"POST", address, path, {}, body, 5.0, done.callback)
        return done.addCallback(lambda reply: orjson.loads(reply.body))

    return call


def build_agent(reactor):
    """Return an agent with the same pool as the node's."""
    from twisted.web.client import Agent, HTTPConnectionPool

    pool = HTTPConnectionPool(reactor)
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = N_IN_FLIGHT
    return Agent(reactor, pool=pool)


async def build_frames(reactor, port, n_legs):
    """Return a hop over length-prefixed frames."""
    from twisted.internet.endpoints import TCP4ClientEndpoint

    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    protocol = await endpoint.connect(Factory.forProtocol(FrameClient))
    protocol.transport.setTcpNoDelay(True)
    return lambda: protocol.send(n_legs)


async def build_grpc(_reactor, port, n_legs):
    """Return a hop over a unary call of grpc.aio."""
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}")
    send = channel.unary_unary(GRPC_METHOD)

    async def exchange():
        return decode_message(await send(build_batch(n_legs)))

    return lambda: Deferred.fromFuture(asyncio.ensure_future(exchange()))


async def build_codec(_reactor, _port, n_legs):
    """Return the encoding and decoding of a hop, without any transport."""
    answer = build_results(n_legs)

    async def exchange():
        build_batch(n_legs)
        return decode_message(answer)

    return exchange


TRANSPORTS = {
    "treq": ("leg_cpu", "http", build_treq),
    "agent": ("leg_cpu", "http", build_plain_agent),
    "exchange": ("leg_cpu", "http", build_exchange),
    "grpc": ("peer_hop_cpu", "grpc", build_grpc),
    "frames": ("peer_hop_cpu", "frames", build_frames),
    "codec": ("peer_hop_cpu", "frames", build_codec),
}


def measure(transport, port, n_legs, n_calls):
    """Print the processor time of one call, in microseconds."""
    reactor = install_reactor(on_asyncio=transport == "grpc")
    build = TRANSPORTS[transport][2]

    async def repeat(call, n_times):
        for _ in range(n_times):
            await call()

    async def run(call, n_times):
        loops = [
            Deferred.fromCoroutine(repeat(call, n_times // N_IN_FLIGHT))
            for _ in range(N_IN_FLIGHT)
        ]
        await gatherResults(loops)

    async def main():
        call = await build(reactor, port, n_legs)
        await run(call, N_WARM_UP)
        started = time.process_time()
        await run(call, n_calls)
        cpu_s = time.process_time() - started
        print(cpu_s / n_calls * US_PER_S)

    def start():
        finished = Deferred.fromCoroutine(main())
        finished.addErrback(lambda failure: failure.printTraceback(file=sys.stderr))
        finished.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()


def start_child(*args):
    """Run this module in a child process."""
    command = [sys.executable, "-m", "bench.transports", *map(str, args)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def compare(n_calls, port):
    """Measure every transport and print one JSON line for each figure."""
    for transport, (name, server_kind, _) in TRANSPORTS.items():
        server = start_child("serve", server_kind, port)
        try:
            wait_for_server(port)
            for n_legs in LEG_COUNTS[name]:
                value_us = measure_in_child(transport, port, n_legs, n_calls)
                print_line(name, transport, n_legs, value_us, n_calls)
        finally:
            server.kill()
            server.wait()
        port += 1


def measure_in_child(transport, port, n_legs, n_calls):
    """Measure one transport in a child process."""
    client = start_child("measure", transport, port, n_legs, n_calls)
    try:
        return float(client.communicate(timeout=CHILD_TIMEOUT_S)[0])
    finally:
        client.kill()
        client.wait()


def wait_for_server(port):
    """Wait until a server listens, for at most ten seconds."""
    for _ in range(100):
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.1)
    raise SystemExit(f"no server on port {port}")


def print_line(name, transport, n_legs, value_us, n_calls):
    """Print one figure as a JSON line."""
    line = {
        "name": name,
        "value": round(value_us, 1),
        "unit": "us of CPU per call",
        "baseline": None,
        "bound": None,
        "holds": None,
        "seed": None,
        "conditions": {
            "transport": transport,
            "n_legs": n_legs,
            "n_calls": n_calls,
            "n_in_flight": N_IN_FLIGHT,
        },
    }
    print(json.dumps(line), flush=True)


def main():
    """Run the action of the command line."""
    parser = argparse.ArgumentParser(prog="bench.transports", description=__doc__)
    parser.add_argument("--port", type=int, default=18700)
    parser.add_argument("--calls", type=int, default=N_CALLS)
    actions = parser.add_subparsers(dest="action")
    serving = actions.add_parser("serve")
    serving.add_argument("kind")
    serving.add_argument("at", type=int)
    measuring = actions.add_parser("measure")
    measuring.add_argument("transport", choices=TRANSPORTS)
    for each in ("at", "n_legs", "n_calls"):
        measuring.add_argument(each, type=int)
    args = parser.parse_args()
    if args.action == "serve":
        serve(args.kind, args.at)
    elif args.action == "measure":
        measure(args.transport, args.at, args.n_legs, args.n_calls)
    else:
        compare(args.calls, args.port)


if __name__ == "__main__":
    main()
