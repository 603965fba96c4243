"""The HTTP interface to callers and operators."""

import secrets
from dataclasses import dataclass
from functools import partial

import orjson
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Site
from werkzeug.exceptions import HTTPException

from heatherpick._core.effects import AnswerCaller, SetReadiness
from heatherpick._core.events import CallerGone, RequestArrived
from heatherpick._core.messages import Outcome
from heatherpick._shell.bodies import CappedRequest
from heatherpick._shell.checks import (
    check_content,
    check_deadline,
    check_key,
    check_kind,
    check_traceparent,
)
from heatherpick.errors import InvalidArgument

__all__ = ["Callers"]

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
#: Random bytes of a request id.
N_ID_BYTES = 16
#: Seconds for which a connection may stay silent between requests.
IDLE_TIMEOUT_S = 120

_STATUSES = {
    Outcome.ANSWERED: HTTP_OK,
    Outcome.PARTIAL: HTTP_OK,
    Outcome.NOT_RUN: HTTP_UNAVAILABLE,
    Outcome.UNKNOWN: HTTP_TIMEOUT,
}
_WORDS = {
    Outcome.ANSWERED: "answered",
    Outcome.PARTIAL: "partial",
    Outcome.NOT_RUN: "not run",
    Outcome.UNKNOWN: "unknown",
}


@dataclass(slots=True)
class _Open:
    """A request that is not answered yet."""

    request: object
    answer: Deferred
    span: object
    action: object
    started: float
    traceparent: str


class Callers:
    """Turns HTTP requests into events and answers into HTTP.

    Parameters
    ----------
    feed : callable
        Takes an event.
    clock : IReactorTime
        Source of the time.
    catalogue : object
        Has ``has_service(name)``, ``is_repeatable(name)`` of a declared service and
        ``describe(now)``, the node's status as a dict.
    metrics : Metrics
        Where answers are counted and shown from.
    tracer : Tracer
        Records a span for each request.
    logs : Logs
        Writes an action for each request.
    """

    app = Klein()

    def __init__(self, feed, clock, catalogue, metrics, tracer, logs):
        self._feed = feed
        self._clock = clock
        self._catalogue = catalogue
        self._metrics = metrics
        self._tracer = tracer
        self._logs = logs
        self._open = {}
        self._is_ready = False

    @property
    def carriers(self):
        """Dict of effect type to the method that carries it out."""
        return {AnswerCaller: self._answer, SetReadiness: self._set_readiness}

    def build_site(self, max_body_bytes):
        """Return the factory of callers' connections.

        Parameters
        ----------
        max_body_bytes : int
            Largest accepted body, in bytes.

        Returns
        -------
        IProtocolFactory
        """
        site = Site(
            self.app.resource(),
            requestFactory=partial(CappedRequest, max_body_bytes=max_body_bytes),
            timeout=IDLE_TIMEOUT_S,
            reactor=self._clock,
        )
        site.displayTracebacks = False
        site.noisy = False
        return site

    @app.route("/v1/services/<service>", methods=["POST"])
    def serve(self, request, service):
        """Take a search or an order."""
        if not self._catalogue.has_service(service):
            return self._refuse_service(request, service)
        kind, body = check_content(request.content.read())
        check_kind(kind, service, self._catalogue.is_repeatable(service))
        event = RequestArrived(
            request_id=secrets.token_hex(N_ID_BYTES),
            service=service,
            body=body,
            deadline_ms=check_deadline(request.getHeader("deadline-ms")),
            key=check_key(kind, _read_header(request, "idempotency-key")),
            traceparent=check_traceparent(request.getHeader("traceparent")),
        )
        return self._start(request, event)

    @app.route("/-/ready", methods=["GET"])
    def show_readiness(self, request):
        """Tell the balancer whether to send callers here."""
        status = HTTP_OK if self._is_ready else HTTP_UNAVAILABLE
        return _write_json(request, status, {"ready": self._is_ready})

    @app.route("/-/status", methods=["GET"])
    def show_status(self, request):
        """Show what the node knows."""
        return _write_json(
            request, HTTP_OK, self._catalogue.describe(self._clock.seconds())
        )

    @app.route("/-/metrics", methods=["GET"])
    def show_metrics(self, request):
        """Show counters and latencies to a scraper."""
        request.setHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
        gauges = (("open_requests", len(self._open)), ("ready", int(self._is_ready)))
        return self._metrics.format(gauges).encode()

    @app.handle_errors(InvalidArgument)
    def refuse_argument(self, request, failure):
        """Answer a request that fails a check."""
        self._metrics.count("bad_requests", "invalid")
        return _write_json(request, HTTP_BAD_REQUEST, {"error": str(failure.value)})

    @app.handle_errors(HTTPException)
    def refuse_path(self, request, failure):
        """Answer a request to an unknown path or by a wrong method."""
        return _write_json(request, failure.value.code, {"error": failure.value.name})

    @app.handle_errors(Exception)
    def report_fault(self, request, failure):
        """Log a fault of this program and tell the caller that there was one."""
        self._logs.report("request failed", error=repr(failure.value))
        fault = {"error": "internal fault; see the node's log"}
        return _write_json(request, HTTP_SERVER_ERROR, fault)

    def _refuse_service(self, request, service):
        # A node that has no declarations yet cannot tell which services exist.
        if not self._is_ready:
            self._metrics.count("refusals", "not ready")
            not_run = {"outcome": _WORDS[Outcome.NOT_RUN], "reason": "not ready"}
            return _write_json(request, HTTP_UNAVAILABLE, not_run)
        self._metrics.count("bad_requests", "unknown service")
        unknown = {"error": f"service: {service!r:.80} is not declared"}
        return _write_json(request, HTTP_NOT_FOUND, unknown)

    def _start(self, request, event):
        span, traceparent = self._tracer.start_request(
            event.traceparent, event.service, event.request_id
        )
        self._open[event.request_id] = _Open(
            request,
            Deferred(lambda _: self._lose(event.request_id)),
            span,
            self._logs.start_request(event.request_id, event.service),
            self._clock.seconds(),
            traceparent,
        )
        answer = self._open[event.request_id].answer
        self._feed(
            RequestArrived(
                event.request_id,
                event.service,
                event.body,
                event.deadline_ms,
                event.key,
                traceparent,
            )
        )
        return answer

    def _answer(self, effect):
        opened = self._open.pop(effect.request_id, None)
        if opened is None:
            self._metrics.count("answers_without_caller")
            return
        outcome = _WORDS[effect.outcome]
        self._end(opened, outcome)
        self._count_answer(effect, outcome)
        if opened.traceparent:
            opened.request.setHeader("traceparent", opened.traceparent)
        opened.answer.callback(self._write_answer(opened.request, effect, outcome))

    def _write_answer(self, request, effect, outcome):
        if not self._is_ready:
            # A kept connection would lead the caller back to a node that stops.
            request.setHeader("connection", "close")
            request.channel.persistent = False
        content = {
            "outcome": outcome,
            "reason": effect.reason,
            "hits": effect.hits,
            "coverage": {
                "n_shards": effect.n_shards,
                "n_covered": effect.n_covered,
                "missing": effect.missing,
            },
            "index_version": effect.version,
            "body": orjson.Fragment(effect.body) if effect.body else None,
        }
        try:
            return _write_json(request, _STATUSES[effect.outcome], content)
        except orjson.JSONEncodeError as error:
            self._logs.report("answer failed", error=str(error))
            return _write_json(request, HTTP_SERVER_ERROR, {"error": "hits: not JSON"})

    def _count_answer(self, effect, outcome):
        self._metrics.count("answers", outcome)
        if effect.outcome is Outcome.NOT_RUN:
            self._metrics.count("refusals", effect.reason)

    def _lose(self, request_id):
        opened = self._open.pop(request_id, None)
        if opened is None:
            return
        self._end(opened, "caller gone")
        self._metrics.count("answers", "caller gone")
        self._feed(CallerGone(request_id))

    def _end(self, opened, outcome):
        elapsed_ms = (self._clock.seconds() - opened.started) * 1000.0
        self._metrics.observe("request", outcome, elapsed_ms)
        self._tracer.end_request(opened.span, outcome)
        opened.action.add_success_fields(outcome=outcome)
        opened.action.finish()

    def _set_readiness(self, effect):
        self._is_ready = effect.ready


def _read_header(request, name):
    value = request.requestHeaders.getRawHeaders(name.encode())
    return value[0].decode("latin-1") if value else None


def _write_json(request, status, content):
    text = orjson.dumps(content, option=orjson.OPT_NON_STR_KEYS)
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    request.setHeader("content-length", str(len(text)))
    return text
