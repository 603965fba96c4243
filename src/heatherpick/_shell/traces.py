"""Spans of finished hops, written as JSON lines through the OpenTelemetry SDK."""

import time
from abc import ABC, abstractmethod

import orjson

from heatherpick._core.effects import EndSpan

__all__ = ["JsonTracer", "NoTracer", "Tracer"]

NS_PER_S = 1_000_000_000


class Tracer(ABC):
    """Records the hops of requests."""

    @classmethod
    def from_settings(cls, settings, clock):
        """Return the tracer that the settings ask for.

        Parameters
        ----------
        settings : NodeSettings
            ``trace_path`` is the file to write, or "" for none.
        clock : IReactorTime
            Clock in which the times of `EndSpan` are told.

        Returns
        -------
        Tracer
        """
        if not settings.trace_path:
            return NoTracer()
        return JsonTracer.from_path(settings.trace_path, settings.name, clock)

    @property
    def effect_handlers(self):
        """Dict of effect type to the method that carries it out."""
        return {EndSpan: self.end_span}

    @abstractmethod
    def start_request(self, traceparent, service, request_id):
        """Start the root span of a request.

        Parameters
        ----------
        traceparent : str
            The caller's trace context or "".
        service : str
            Name of the service.
        request_id : str
            Id of the request.

        Returns
        -------
        tuple of (object, str)
            The span, and the trace context that the request's hops continue.
        """

    @abstractmethod
    def end_request(self, span, outcome):
        """End the root span of a request with the name of its outcome."""

    @abstractmethod
    def end_span(self, effect):
        """Record the hop of an `EndSpan`."""

    @abstractmethod
    def close(self):
        """Write what is left."""


class NoTracer(Tracer):
    """Records nothing and passes the caller's trace context on."""

    def start_request(self, traceparent, service, request_id):
        """Return the caller's own trace context."""
        return None, traceparent

    def end_request(self, span, outcome):
        """Do nothing."""

    def end_span(self, effect):
        """Do nothing."""

    def close(self):
        """Do nothing."""


class JsonTracer(Tracer):
    """Writes each finished span as one JSON line.

    Parameters
    ----------
    file : binary file
        Takes the lines.
    node : str
        Name of this node.
    clock : IReactorTime
        Clock in which the times of `EndSpan` are told.
    """

    def __init__(self, file, node, clock):
        # The SDK costs several megabytes, which a node without traces need not pay.
        from opentelemetry.sdk.trace import TracerProvider

        self._file = file
        self._node = node
        self._clock = clock
        self._provider = TracerProvider(shutdown_on_exit=False)
        self._provider.add_span_processor(_build_processor(self._write))
        self._tracer = self._provider.get_tracer("heatherpick")

    @classmethod
    def from_path(cls, path, node, clock):
        """Return a tracer that appends to the file at ``path``."""
        return cls(open(path, "ab"), node, clock)

    def start_request(self, traceparent, service, request_id):
        """Start a span that continues the caller's trace, or a new trace."""
        span = self._tracer.start_span(
            "request",
            context=_read_context(traceparent),
            attributes={"service": service, "request_id": request_id},
        )
        return span, _format_traceparent(span.get_span_context())

    def end_request(self, span, outcome):
        """End the span of a request."""
        span.set_attribute("outcome", outcome)
        span.end()

    def end_span(self, effect):
        """Write a hop whose start and end are known."""
        context = _read_context(effect.traceparent)
        if context is None:
            return
        # Times of the clock are not times of the day; the difference is read at
        # each span, as the day's time may be set while the process runs.
        shift_ns = time.time_ns() - _to_ns(self._clock.seconds())
        span = self._tracer.start_span(
            effect.name,
            context=context,
            attributes=dict(effect.attributes),
            start_time=_to_ns(effect.started) + shift_ns,
        )
        span.end(_to_ns(effect.ended) + shift_ns)

    def close(self):
        """Write what is left and close the file."""
        self._provider.shutdown()
        self._file.close()

    def _write(self, span):
        context = span.get_span_context()
        record = {
            "trace_id": f"{context.trace_id:032x}",
            "span_id": f"{context.span_id:016x}",
            "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
            "name": span.name,
            "node": self._node,
            "start_ns": span.start_time,
            "end_ns": span.end_time,
            "attributes": dict(span.attributes),
        }
        self._file.write(orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE))
        self._file.flush()


def _build_processor(write):
    from opentelemetry.sdk.trace.export import (
        SimpleSpanProcessor,
        SpanExporter,
        SpanExportResult,
    )

    class LineExporter(SpanExporter):
        """Passes each finished span to a function."""

        def export(self, spans):
            """Write the spans."""
            for span in spans:
                write(span)
            return SpanExportResult.SUCCESS

    return SimpleSpanProcessor(LineExporter())


def _to_ns(time_s):
    return int(time_s * NS_PER_S)


def _read_context(traceparent):
    if not traceparent:
        return None
    from opentelemetry.trace.propagation.tracecontext import (
        TraceContextTextMapPropagator,
    )

    return TraceContextTextMapPropagator().extract({"traceparent": traceparent})


def _format_traceparent(context):
    return (
        f"00-{context.trace_id:032x}-{context.span_id:016x}-{context.trace_flags:02x}"
    )
