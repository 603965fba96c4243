"""The HTTP API for callers, and the status pages for operators."""

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
from heatherpick._shell.request_bodies import SizeLimitedRequest
from heatherpick._shell.request_checks import (
    check_content,
    check_deadline,
    check_key,
    check_kind,
    check_traceparent,
)
from heatherpick.errors import InvalidArgument

__all__ = ["CallerApi"]

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
#: Size of a random request id, in bytes.
N_REQUEST_ID_BYTES = 16
#: Seconds after which an idle connection is closed.
IDLE_TIMEOUT_S = 120

_HTTP_STATUSES = {
    Outcome.ANSWERED: HTTP_OK,
    Outcome.PARTIAL: HTTP_OK,
    Outcome.NOT_RUN: HTTP_UNAVAILABLE,
    Outcome.UNKNOWN: HTTP_TIMEOUT,
}
_OUTCOME_NAMES = {
    Outcome.ANSWERED: "answered",
    Outcome.PARTIAL: "partial",
    Outcome.NOT_RUN: "not run",
    Outcome.UNKNOWN: "unknown",
}


@dataclass(slots=True)
class _PendingRequest:
    """A request whose response has not been sent."""

    request: object
    response: Deferred
    span: object
    log_action: object
    started_s: float
    traceparent: str


class CallerApi:
    """Converts HTTP requests into events, and `AnswerCaller` effects into responses.

    Parameters
    ----------
    feed : callable
        ``feed(event)`` passes an event to the reducer.
    clock : IReactorTime
        Provides the current time and the timers of idle connections.
    catalogue : object
        Provides ``has_service(name)``, ``is_repeatable(name)`` for a declared service,
        and ``describe(now)``, which returns the node's status as a dict.
    metrics : Metrics
        Counts the responses and formats the metrics page.
    tracer : Tracer
        Records a span for each request.
    logs : Logs
        Logs each request as an eliot action.
    """

    app = Klein()

    def __init__(self, feed, clock, catalogue, metrics, tracer, logs):
        self._feed = feed
        self._clock = clock
        self._catalogue = catalogue
        self._metrics = metrics
        self._tracer = tracer
        self._logs = logs
        self._pending = {}
        self._is_ready = False

    @property
    def effect_handlers(self):
        """Dict of effect type to the handler of that effect."""
        return {AnswerCaller: self._send_response, SetReadiness: self._set_readiness}

    def build_site(self, max_body_bytes):
        """Return the protocol factory for connections of callers.

        Parameters
        ----------
        max_body_bytes : int
            Maximum size of a request body, in bytes.

        Returns
        -------
        IProtocolFactory
        """
        site = Site(
            self.app.resource(),
            requestFactory=partial(SizeLimitedRequest, max_body_bytes=max_body_bytes),
            timeout=IDLE_TIMEOUT_S,
            reactor=self._clock,
        )
        site.displayTracebacks = False
        site.noisy = False
        return site

    @app.route("/v1/services/<service>", methods=["POST"])
    def accept_request(self, request, service):
        """Validate a search or an order and pass it to the reducer."""
        if not self._catalogue.has_service(service):
            return self._reject_unknown_service(request, service)
        kind, body = check_content(request.content.read())
        check_kind(kind, service, self._catalogue.is_repeatable(service))
        event = RequestArrived(
            request_id=secrets.token_hex(N_REQUEST_ID_BYTES),
            service=service,
            body=body,
            deadline_ms=check_deadline(request.getHeader("deadline-ms")),
            key=check_key(kind, _read_header(request, "idempotency-key")),
            traceparent=check_traceparent(request.getHeader("traceparent")),
        )
        return self._start_request(request, event)

    @app.route("/-/ready", methods=["GET"])
    def show_readiness(self, request):
        """Answer the load balancer's readiness probe: 200 if ready, else 503."""
        status = HTTP_OK if self._is_ready else HTTP_UNAVAILABLE
        return _write_json(request, status, {"ready": self._is_ready})

    @app.route("/-/status", methods=["GET"])
    def show_status(self, request):
        """Return the node's status as JSON."""
        return _write_json(
            request, HTTP_OK, self._catalogue.describe(self._clock.seconds())
        )

    @app.route("/-/metrics", methods=["GET"])
    def show_metrics(self, request):
        """Return counters and latencies in the Prometheus text format."""
        request.setHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
        gauges = (("open_requests", len(self._pending)), ("ready", int(self._is_ready)))
        return self._metrics.format(gauges).encode()

    @app.handle_errors(InvalidArgument)
    def reject_invalid_argument(self, request, failure):
        """Respond with 400 to a request that fails validation."""
        self._metrics.count("bad_requests", "invalid")
        return _write_json(request, HTTP_BAD_REQUEST, {"error": str(failure.value)})

    @app.handle_errors(HTTPException)
    def reject_http_error(self, request, failure):
        """Respond to a request with an unknown path or a method that is not allowed."""
        return _write_json(request, failure.value.code, {"error": failure.value.name})

    @app.handle_errors(Exception)
    def handle_error(self, request, failure):
        """Log an unexpected exception and respond with 500."""
        self._logs.report("request failed", error=repr(failure.value))
        content = {"error": "internal fault; see the node's log"}
        return _write_json(request, HTTP_SERVER_ERROR, content)

    def _reject_unknown_service(self, request, service):
        # Before it has the declarations, a node doesn't know which services exist.
        if not self._is_ready:
            self._metrics.count("refusals", "not ready")
            not_run = {
                "outcome": _OUTCOME_NAMES[Outcome.NOT_RUN],
                "reason": "not ready",
            }
            return _write_json(request, HTTP_UNAVAILABLE, not_run)
        self._metrics.count("bad_requests", "unknown service")
        unknown = {"error": f"service: {service!r:.80} is not declared"}
        return _write_json(request, HTTP_NOT_FOUND, unknown)

    def _start_request(self, request, event):
        span, traceparent = self._tracer.start_request(
            event.traceparent, event.service, event.request_id
        )
        self._pending[event.request_id] = _PendingRequest(
            request,
            Deferred(lambda _: self._handle_disconnect(event.request_id)),
            span,
            self._logs.start_request(event.request_id, event.service),
            self._clock.seconds(),
            traceparent,
        )
        response = self._pending[event.request_id].response
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
        return response

    def _send_response(self, effect):
        pending = self._pending.pop(effect.request_id, None)
        if pending is None:
            self._metrics.count("answers_without_caller")
            return
        outcome = _OUTCOME_NAMES[effect.outcome]
        self._record_end(pending, outcome)
        self._count_outcome(effect, outcome)
        if pending.traceparent:
            pending.request.setHeader("traceparent", pending.traceparent)
        pending.response.callback(
            self._write_response(pending.request, effect, outcome)
        )

    def _write_response(self, request, effect, outcome):
        if not self._is_ready:
            # With keep-alive, the caller would reuse the connection to a stopping node.
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
            return _write_json(request, _HTTP_STATUSES[effect.outcome], content)
        except orjson.JSONEncodeError as error:
            self._logs.report("response is not JSON serialisable", error=str(error))
            return _write_json(request, HTTP_SERVER_ERROR, {"error": "hits: not JSON"})

    def _count_outcome(self, effect, outcome):
        self._metrics.count("answers", outcome)
        if effect.outcome is Outcome.NOT_RUN:
            self._metrics.count("refusals", effect.reason)

    def _handle_disconnect(self, request_id):
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        self._record_end(pending, "caller gone")
        self._metrics.count("answers", "caller gone")
        self._feed(CallerGone(request_id))

    def _record_end(self, pending, outcome):
        elapsed_ms = (self._clock.seconds() - pending.started_s) * 1000.0
        self._metrics.observe("request", outcome, elapsed_ms)
        self._tracer.end_request(pending.span, outcome)
        pending.log_action.add_success_fields(outcome=outcome)
        pending.log_action.finish()

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
