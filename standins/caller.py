"""Stand-in for callers: sends requests at planned times, whatever earlier ones do.

``python -m standins.caller --node 127.0.0.1:8080 --search lookup=findings --rate 20
--seconds 10 --records run.jsonl`` prints one JSON line that summarises the run; the
file holds one `standins.records.Record` per line. Latency counts from the planned
arrival, so it includes the time that requests queue behind a slow node.
"""

import argparse
from functools import partial
from io import BytesIO
from pathlib import Path

import orjson
import treq
from twisted.internet import error
from twisted.internet.defer import (
    Deferred,
    DeferredList,
    TimeoutError,
    inlineCallbacks,
)
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestNotSent,
)
from twisted.web.http_headers import Headers

from standins.arrivals import Load, plan_requests
from standins.balancer import Balancer, check_address
from standins.records import ANSWERED_OUTCOMES, Record, Summary
from standins.response_check import find_response_fault
from standins.web import announce

__all__ = ["Caller", "build_parser", "main"]

_MS_PER_S = 1000.0
#: Seconds between two readiness checks of a node.
_READINESS_INTERVAL_S = 0.1
#: Seconds after which a readiness check or an attempt to connect fails.
_READINESS_TIMEOUT_S = 1.0
#: Largest number of idle connections that are kept open to each node.
_MAX_IDLE_PER_NODE = 64
_HTTP_OK = 200
_NOT_SENT_ERRORS = (error.ConnectError, error.TimeoutError, RequestNotSent)


class Caller:
    """Sends the requests of a plan and records the outcome of each.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
        Clock of arrivals and timeouts.
    agent : twisted.web.iweb.IAgent
        Sends the requests.
    balancer : Balancer
        Chooses the nodes.
    handle_record : callable
        Called with the `Record` of each request that ends.
    timeout_s : float
        Time from sending after which a request is abandoned, in seconds.
    deadline_ms : float or None, default=None
        Deadline that each request states, None to state none.
    max_in_flight : int, default=2000
        Largest number of requests in flight; further ones are recorded as not sent.
    """

    def __init__(
        self,
        clock,
        agent,
        balancer,
        handle_record,
        timeout_s,
        deadline_ms=None,
        max_in_flight=2000,
    ):
        self._clock = clock
        self._agent = agent
        self._balancer = balancer
        self._handle_record = handle_record
        self._timeout_s = timeout_s
        self._headers = {b"Content-Type": [b"application/json"]}
        if deadline_ms is not None:
            self._headers[b"Deadline-Ms"] = [f"{deadline_ms:g}".encode()]
        self._max_in_flight = max_in_flight
        self._n_in_flight = 0

    @inlineCallbacks
    def run(self, plan):
        """Send every request of ``plan`` at its time and wait until all have ended."""
        nodes = self._balancer.addresses
        yield DeferredList([self._check_readiness(each) for each in nodes])
        loops = [self._start_readiness_checks(each) for each in nodes]
        yield self._send_all(plan)
        for loop in loops:
            loop.stop()

    def _start_readiness_checks(self, address):
        # Each node has its own loop, so that a hung node does not delay the others.
        loop = LoopingCall(self._check_readiness, address)
        loop.clock = self._clock
        loop.start(_READINESS_INTERVAL_S, now=False)
        return loop

    def _send_all(self, plan):
        started_at = self._clock.seconds()
        completions = [Deferred() for _ in plan]
        for request, completion in zip(plan, completions, strict=True):
            self._clock.callLater(
                request.arrival_s, self._start_request, request, started_at, completion
            )
        return DeferredList(completions)

    def _start_request(self, request, started_at, completion):
        scheduled_at = started_at + request.arrival_s
        if self._n_in_flight >= self._max_in_flight:
            self._handle_record(
                self._build_record(request, scheduled_at, "", "not sent", "too many")
            )
            completion.callback(None)
            return
        self._n_in_flight += 1
        sending = self._send(request, scheduled_at)
        sending.addCallback(self._handle_record)
        sending.addBoth(self._finish_request, completion)

    def _finish_request(self, result, completion):
        self._n_in_flight -= 1
        completion.callback(None)
        return result

    @inlineCallbacks
    def _send(self, request, scheduled_at):
        tried = set()
        sent_at = self._clock.seconds()
        while True:
            node = self._balancer.choose(excluded=tried)
            build_record = partial(
                self._build_record, request, scheduled_at, node or "", sent_at=sent_at
            )
            if node is None:
                return build_record("not sent", "no node is ready")
            tried.add(node)
            try:
                status, body = yield self._post(request, node)
            except _NOT_SENT_ERRORS:
                # Nothing was sent, so the request can safely go to another node.
                self._balancer.set_ready(node, False)
            except TimeoutError:
                return build_record("timeout", "no answer in time")
            except Exception as exception:
                return build_record("lost", type(exception).__name__)
            else:
                return _record_response(request, status, body, build_record)

    def _post(self, request, node):
        headers = Headers(self._headers)
        if request.key:
            headers.setRawHeaders(b"Idempotency-Key", [request.key.encode()])
        response = self._agent.request(
            b"POST",
            f"http://{node}/v1/services/{request.service}".encode(),
            headers,
            FileBodyProducer(BytesIO(orjson.dumps(request.to_json()))),
        )
        response.addCallback(_read_response)
        return _add_timeout(response, self._timeout_s, self._clock)

    def _build_record(
        self,
        request,
        scheduled_at,
        node,
        outcome,
        reason="",
        sent_at=None,
        **response_fields,
    ):
        now = self._clock.seconds()
        return Record(
            number=request.number,
            service=request.service,
            scheduled=scheduled_at,
            sent=now if sent_at is None else sent_at,
            ended=now,
            node=node,
            outcome=outcome,
            reason=reason,
            key=request.key,
            **response_fields,
        )

    @inlineCallbacks
    def _check_readiness(self, address):
        response = self._agent.request(b"GET", f"http://{address}/-/ready".encode())
        response.addCallback(_read_response)
        _add_timeout(response, _READINESS_TIMEOUT_S, self._clock)
        try:
            status, _ = yield response
        except Exception:
            status = 0
        self._balancer.set_ready(address, status == _HTTP_OK)


def _add_timeout(deferred, timeout_s, clock):
    # A cancelled agent fails with its own error, so `TimeoutError` is set explicitly.
    return deferred.addTimeout(
        timeout_s, clock, onTimeoutCancel=lambda *_: Failure(TimeoutError())
    )


def _read_response(response):
    return treq.content(response).addCallback(lambda body: (response.code, body))


def _record_response(request, status, body, build_record):
    try:
        content = orjson.loads(body)
        outcome = content["outcome"]
        reason = content.get("reason") or ""
        if outcome not in ANSWERED_OUTCOMES or request.is_order:
            return build_record(
                outcome, reason, status=status, body=content.get("body")
            )
        coverage = content["coverage"]
        return build_record(
            outcome,
            reason,
            status=status,
            n_shards=coverage["n_shards"],
            n_covered=coverage["n_covered"],
            missing=tuple(coverage["missing"]),
            version=content["index_version"],
            fault=find_response_fault(request.shard_set, request.content, content),
        )
    except (ValueError, KeyError, TypeError):
        return build_record("error", f"status {status}: {body[:200]!r}", status=status)


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.caller")
    add = parser.add_argument
    add("--node", type=check_address, action="append", required=True, dest="nodes")
    add("--search", type=_parse_search, action="append", default=[], dest="searches")
    add("--order", action="append", default=[], dest="orders", metavar="SERVICE")
    add("--order-share", type=float, default=0.0)
    add("--n-repeats", type=int, default=0, help="times that each order is sent again")
    add("--repeat-after-ms", type=float, default=0.0)
    add("--rate", type=float, default=10.0, help="arrivals per second")
    add("--seconds", type=float, default=5.0, help="time for which requests arrive")
    add("--n-requests", type=int, default=100_000, help="largest number of requests")
    add("--n-queries", type=int, default=1000, help="number of different queries")
    add("--deadline-ms", type=float, help="deadline that requests state")
    add("--timeout-ms", type=float, default=10_000.0, help="timeout of each request")
    add("--seed", type=int, default=0)
    add("--records", type=Path, help="file for one JSON line per request")
    return parser


def main(arguments=None):
    """Run one load to its end and print its summary."""
    from twisted.internet import reactor

    parser = build_parser()
    options = parser.parse_args(arguments)
    if not options.searches and not options.orders:
        parser.error("no requests to send; name a --search or an --order")
    summary = Summary()
    with open(options.records or "/dev/null", "wb", buffering=0) as records:

        def handle_record(record):
            records.write(record.to_json_line())
            summary.add(record)

        caller = _build_caller(reactor, options, handle_record)
        run = caller.run(plan_requests(_build_load(options)))
        run.addErrback(lambda failure: failure.printTraceback())
        run.addBoth(lambda _: reactor.stop())
        reactor.run()
    announce(standin="caller", seed=options.seed, **summary.to_json())


def _build_caller(reactor, options, handle_record):
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = _MAX_IDLE_PER_NODE
    agent = Agent(reactor, connectTimeout=_READINESS_TIMEOUT_S, pool=pool)
    return Caller(
        reactor,
        agent,
        Balancer(options.nodes),
        handle_record,
        options.timeout_ms / _MS_PER_S,
        options.deadline_ms,
    )


def _build_load(options):
    return Load(
        rate=options.rate,
        seconds=options.seconds,
        searches=tuple(options.searches),
        orders=tuple(options.orders),
        order_share=options.order_share,
        n_repeats=options.n_repeats,
        repeat_after_ms=options.repeat_after_ms,
        n_queries=options.n_queries,
        n_requests=options.n_requests,
        seed=options.seed,
    )


def _parse_search(text):
    service, equals, shard_set = text.partition("=")
    if not (service and equals and shard_set):
        raise argparse.ArgumentTypeError(f"{text!r}: write SERVICE=SHARD_SET")
    return service, shard_set


if __name__ == "__main__":
    main()
