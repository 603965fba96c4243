"""Stand-in for callers: sends requests at their planned times, answered or not.

``python -m standins.caller --node 127.0.0.1:8080 --search lookup=findings --rate 20
--seconds 10 --records run.jsonl`` prints one JSON line that sums the run up; the
file has a `standins.records.Record` a line. Latency counts from the planned
arrival, so a slow node does not hide its own queue.
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

from standins.answer_check import find_answer_fault
from standins.arrivals import Load, plan_requests
from standins.balancer import Balancer, check_address
from standins.records import ANSWERS, Record, Summary
from standins.web import announce

__all__ = ["Caller", "build_parser", "main"]

_MS_PER_S = 1000.0
#: Seconds between two looks at the readiness of each node.
_CHECK_SECONDS = 0.1
#: Seconds that a node has to say whether it is ready.
_READY_SECONDS = 1.0
#: Idle connections that are kept to each node.
_N_IDLE_CONNECTIONS = 64
_HTTP_OK = 200
_NOT_SENT = (error.ConnectError, error.TimeoutError, RequestNotSent)


class Caller:
    """Sends the requests of a plan and records what becomes of them.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
        Clock of arrivals and timeouts.
    agent : twisted.web.iweb.IAgent
        Sends the requests.
    balancer : Balancer
        Chooses the nodes.
    keep : callable
        Takes each `Record` as its request ends.
    timeout : float
        Time after sending after which a request is given up, in seconds.
    deadline_ms : float or None, default=None
        What requests say to be their deadline.
    max_open : int, default=2000
        Requests that may be open side by side; more are recorded as not sent.
    """

    def __init__(
        self, clock, agent, balancer, keep, timeout, deadline_ms=None, max_open=2000
    ):
        self._clock = clock
        self._agent = agent
        self._balancer = balancer
        self._keep = keep
        self._timeout = timeout
        self._headers = {b"Content-Type": [b"application/json"]}
        if deadline_ms is not None:
            self._headers[b"Deadline-Ms"] = [f"{deadline_ms:g}".encode()]
        self._max_open = max_open
        self._n_open = 0

    @inlineCallbacks
    def run(self, plan):
        """Send every request of ``plan`` at its time and wait for the last to end."""
        nodes = self._balancer.addresses
        yield DeferredList([self._check_node(each) for each in nodes])
        checks = [self._start_checking(each) for each in nodes]
        yield self._send_all(plan)
        for check in checks:
            check.stop()

    def _start_checking(self, address):
        # One loop for each node, as a node that hangs must not delay the others.
        checking = LoopingCall(self._check_node, address)
        checking.clock = self._clock
        checking.start(_CHECK_SECONDS, now=False)
        return checking

    def _send_all(self, plan):
        started = self._clock.seconds()
        ended = [Deferred() for _ in plan]
        for request, end in zip(plan, ended, strict=True):
            self._clock.callLater(request.at, self._start, request, started, end)
        return DeferredList(ended)

    def _start(self, request, started, end):
        scheduled = started + request.at
        if self._n_open >= self._max_open:
            self._keep(self._record(request, scheduled, "", "not sent", "too many"))
            end.callback(None)
            return
        self._n_open += 1
        sending = self._send(request, scheduled)
        sending.addCallback(self._keep)
        sending.addBoth(self._finish, end)

    def _finish(self, result, end):
        self._n_open -= 1
        end.callback(None)
        return result

    @inlineCallbacks
    def _send(self, request, scheduled):
        tried = set()
        sent = self._clock.seconds()
        while True:
            node = self._balancer.choose(avoid=tried)
            record = partial(self._record, request, scheduled, node or "", sent=sent)
            if node is None:
                return record("not sent", "no node is ready")
            tried.add(node)
            try:
                status, body = yield self._exchange(request, node)
            except _NOT_SENT:
                # The balancer knows of a refused connection that nothing was sent.
                self._balancer.mark(node, False)
            except TimeoutError:
                return record("timeout", "no answer in time")
            except Exception as fault:
                return record("lost", type(fault).__name__)
            else:
                return _read_answer(request, status, body, record)

    def _exchange(self, request, node):
        headers = Headers(self._headers)
        if request.key:
            headers.setRawHeaders(b"Idempotency-Key", [request.key.encode()])
        exchange = self._agent.request(
            b"POST",
            f"http://{node}/v1/services/{request.service}".encode(),
            headers,
            FileBodyProducer(BytesIO(orjson.dumps(request.to_json()))),
        )
        exchange.addCallback(_read_whole)
        return _limit_time(exchange, self._timeout, self._clock)

    def _record(
        self, request, scheduled, node, outcome, reason="", sent=None, **answer
    ):
        now = self._clock.seconds()
        return Record(
            number=request.number,
            service=request.service,
            scheduled=scheduled,
            sent=now if sent is None else sent,
            ended=now,
            node=node,
            outcome=outcome,
            reason=reason,
            key=request.key,
            **answer,
        )

    @inlineCallbacks
    def _check_node(self, address):
        check = self._agent.request(b"GET", f"http://{address}/-/ready".encode())
        check.addCallback(_read_whole)
        _limit_time(check, _READY_SECONDS, self._clock)
        try:
            status, _ = yield check
        except Exception:
            status = 0
        self._balancer.mark(address, status == _HTTP_OK)


def _limit_time(exchange, seconds, clock):
    # The agent wraps the cancellation in an error of its own.
    return exchange.addTimeout(
        seconds, clock, onTimeoutCancel=lambda *_: Failure(TimeoutError())
    )


def _read_whole(response):
    return treq.content(response).addCallback(lambda body: (response.code, body))


def _read_answer(request, status, body, record):
    try:
        answer = orjson.loads(body)
        outcome = answer["outcome"]
        reason = answer.get("reason") or ""
        if outcome not in ANSWERS or request.is_order:
            return record(outcome, reason, status=status, body=answer.get("body"))
        coverage = answer["coverage"]
        return record(
            outcome,
            reason,
            status=status,
            n_shards=coverage["n_shards"],
            n_covered=coverage["n_covered"],
            missing=tuple(coverage["missing"]),
            version=answer["index_version"],
            fault=find_answer_fault(request.shard_set, request.content, answer),
        )
    except (ValueError, KeyError, TypeError):
        return record("error", f"status {status}: {body[:200]!r}", status=status)


def build_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.caller")
    add = parser.add_argument
    add("--node", type=check_address, action="append", required=True, dest="nodes")
    add("--search", type=_read_search, action="append", default=[], dest="searches")
    add("--order", action="append", default=[], dest="orders", metavar="SERVICE")
    add("--order-share", type=float, default=0.0)
    add("--n-repeats", type=int, default=0, help="times that an order is sent again")
    add("--repeat-after-ms", type=float, default=0.0)
    add("--rate", type=float, default=10.0, help="arrivals a second")
    add("--seconds", type=float, default=5.0, help="time of arrivals")
    add("--n-requests", type=int, default=100_000, help="most requests")
    add("--n-queries", type=int, default=1000, help="number of different queries")
    add("--deadline-ms", type=float, help="deadline that requests state")
    add("--timeout-ms", type=float, default=10_000.0, help="time to wait for an answer")
    add("--seed", type=int, default=0)
    add("--records", type=Path, help="file for one JSON line a request")
    return parser


def main(arguments=None):
    """Run one load to its end and print its summary."""
    from twisted.internet import reactor

    parser = build_parser()
    options = parser.parse_args(arguments)
    if not options.searches and not options.orders:
        parser.error("nothing to send; name a --search or an --order")
    summary = Summary()
    with open(options.records or "/dev/null", "wb", buffering=0) as records:

        def keep(record):
            records.write(record.to_line())
            summary.add(record)

        caller = _build_caller(reactor, options, keep)
        running = caller.run(plan_requests(_read_load(options)))
        running.addErrback(lambda failure: failure.printTraceback())
        running.addBoth(lambda _: reactor.stop())
        reactor.run()
    announce(standin="caller", seed=options.seed, **summary.to_json())


def _build_caller(reactor, options, keep):
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = _N_IDLE_CONNECTIONS
    agent = Agent(reactor, connectTimeout=_READY_SECONDS, pool=pool)
    return Caller(
        reactor,
        agent,
        Balancer(options.nodes),
        keep,
        options.timeout_ms / _MS_PER_S,
        options.deadline_ms,
    )


def _read_load(options):
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


def _read_search(text):
    service, equals, shard_set = text.partition("=")
    if not (service and equals and shard_set):
        raise argparse.ArgumentTypeError(f"{text!r}: write SERVICE=SHARD_SET")
    return service, shard_set


if __name__ == "__main__":
    main()
