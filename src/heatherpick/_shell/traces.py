"""Traces: spans of requests and hops as JSON lines, through the OpenTelemetry SDK."""

import time
from abc import ABC, abstractmethod

import orjson

from heatherpick._core.effects import EndSpan

__all__ = ["JsonTracer", "NoTracer", "Tracer"]

NS_PER_S = 1_000_000_000


class Tracer(ABC):
    """Records the spans of requests and of their hops."""

    @classmethod
    def from_settings(cls, settings, clock):
        """Return the tracer configured by the settings.

        Parameters
        ----------
        settings : NodeSettings
            ``trace_path`` is the output file, or "" to disable traces.
        clock : IReactorTime
            Clock that the times of `EndSpan` refer to.

        Returns
        -------
        Tracer
        """
        if not settings.trace_path:
            return NoTracer()
        return JsonTracer.from_path(settings.trace_path, settings.name, clock)

    @property
    def effect_handlers(self):
        """Dict of effect type to the handler of that effect."""
        return {EndSpan: self.end_span}

    @abstractmethod
    def start_request(self, traceparent, service, request_id):
        """Start the root span of a request.

        Parameters
        ----------
        traceparent : str
            The caller's trace context, or "".
        service : str
            Name of the service.
        request_id : str
            Id of the request.

        Returns
        -------
        tuple of (object, str)
            The span, and the trace context for the spans of the request's hops.
        """

    @abstractmethod
    def end_request(self, span, outcome):
        """End the root span of a request, with its outcome as an attribute."""

    @abstractmethod
    def end_span(self, effect):
        """Record the finished hop of an `EndSpan`."""

    @abstractmethod
    def close(self):
        """Flush pending spans and close the output."""


class NoTracer(Tracer):
    """Records nothing and propagates the caller's trace context unchanged."""

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
        Destination of the lines.
    node : str
        Name of this node.
    clock : IReactorTime
        Clock that the times of `EndSpan` refer to.
    """

    def __init__(self, file, node, clock):
        # Imported here, as the SDK takes several megabytes of memory, which a node
        # without traces doesn't need.
        from opentelemetry.sdk.trace import TracerProvider

        self._file = file
        self._node = node
        self._clock = clock
        self._provider = TracerProvider(shutdown_on_exit=False)
        self._provider.add_span_processor(_build_span_processor(self._write))
        self._tracer = self._provider.get_tracer("heatherpick")

    @classmethod
    def from_path(cls, path, node, clock):
        """Return a tracer that appends to the file at ``path``."""
        return cls(open(path, "ab"), node, clock)

    def start_request(self, traceparent, service, request_id):
        """Start a span that continues the caller's trace, or a new trace."""
        span = self._tracer.start_span(
            "request",
            context=_parse_traceparent(traceparent),
            attributes={"service": service, "request_id": request_id},
        )
        return span, _format_traceparent(span.get_span_context())

    def end_request(self, span, outcome):
        """End the span of a request."""
        span.set_attribute("outcome", outcome)
        span.end()

    def end_span(self, effect):
        """Record a finished hop, unless it has no trace context."""
        context = _parse_traceparent(effect.traceparent)
        if context is None:
            return
        # The clock is not the wall clock. The offset between them is computed for each
        # span, as the wall clock may be adjusted while the process runs.
        offset_ns = time.time_ns() - _to_ns(self._clock.seconds())
        span = self._tracer.start_span(
            effect.name,
            context=context,
            attributes=dict(effect.attributes),
            start_time=_to_ns(effect.started) + offset_ns,
        )
        span.end(_to_ns(effect.ended) + offset_ns)

    def close(self):
        """Flush pending spans and close the file."""
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


def _build_span_processor(write):
    from opentelemetry.sdk.trace.export import (
        SimpleSpanProcessor,
        SpanExporter,
        SpanExportResult,
    )

    class FunctionExporter(SpanExporter):
        """Span exporter that passes each finished span to ``write``."""

        def export(self, spans):
            """Write the spans."""
            for span in spans:
                write(span)
            return SpanExportResult.SUCCESS

    return SimpleSpanProcessor(FunctionExporter())


def _to_ns(time_s):
    return int(time_s * NS_PER_S)


def _parse_traceparent(traceparent):
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
