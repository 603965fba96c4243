"""Metrics, traces and logs of a node."""

import io
import json

from twisted.internet.task import Clock

from heatherpick._core.effects import EndSpan, Log
from heatherpick._shell import metrics as metrics_module
from heatherpick._shell.logs import Logs
from heatherpick._shell.metrics import Metrics
from heatherpick._shell.traces import JsonTracer, NoTracer

TRACE_ID, SPAN_ID = "a" * 32, "b" * 16
TRACEPARENT = f"00-{TRACE_ID}-{SPAN_ID}-01"


class CapturingFile(io.BytesIO):
    """A binary file that keeps its parsed JSON lines after it is closed."""

    def close(self):
        self.lines = [json.loads(line) for line in self.getvalue().splitlines()]
        super().close()


def record_spans(record_actions):
    file, clock = CapturingFile(), Clock()
    clock.advance(50)
    tracer = JsonTracer(file, "n1", clock)
    record_actions(tracer)
    tracer.close()
    return file.lines


def test_hop_is_a_child_span_with_its_own_times():
    effect = EndSpan(TRACEPARENT, "leg", 49.0, 49.25, (("shard", 3),))
    (span,) = record_spans(lambda tracer: tracer.end_span(effect))
    assert (span["trace_id"], span["parent_id"]) == (TRACE_ID, SPAN_ID)
    assert span["end_ns"] - span["start_ns"] == 250_000_000
    assert (span["name"], span["node"]) == ("leg", "n1")
    assert span["attributes"] == {"shard": 3}


def test_request_span_is_the_parent_of_its_hops():
    def record_actions(tracer):
        span, traceparent = tracer.start_request("", "find", "r1")
        tracer.end_span(EndSpan(traceparent, "leg", 1.0, 2.0))
        tracer.end_request(span, "answered")

    hop, root = record_spans(record_actions)
    assert hop["parent_id"] == root["span_id"] and root["parent_id"] == ""
    assert hop["trace_id"] == root["trace_id"]
    assert root["attributes"]["outcome"] == "answered"


def test_callers_trace_is_continued():
    def record_actions(tracer):
        tracer.end_request(tracer.start_request(TRACEPARENT, "find", "r1")[0], "x")

    (root,) = record_spans(record_actions)
    assert (root["trace_id"], root["parent_id"]) == (TRACE_ID, SPAN_ID)


def test_missing_or_unsampled_context_writes_no_span():
    def record_actions(tracer):
        tracer.end_span(EndSpan("", "leg", 1.0, 2.0))
        tracer.end_span(EndSpan(TRACEPARENT[:-1] + "0", "leg", 1.0, 2.0))

    assert record_spans(record_actions) == []


def test_disabled_tracer_propagates_the_context():
    assert NoTracer().start_request(TRACEPARENT, "find", "r1") == (None, TRACEPARENT)


def test_log_effect_and_request_are_json_lines():
    file = io.BytesIO()
    logs = Logs(file, "n1")
    logs.effect_handlers[Log](Log("drained", (("upstream", "u1"),)))
    action = logs.start_request("r1", "find")
    action.add_success_fields(outcome="partial")
    action.finish()
    logs.close()
    message, start, end = map(json.loads, file.getvalue().splitlines())
    assert (message["message_type"], message["upstream"]) == ("drained", "u1")
    assert (start["request_id"], start["node"]) == ("r1", "n1")
    assert end["outcome"] == "partial" and end["task_uuid"] == start["task_uuid"]


def test_metrics_are_formatted_as_prometheus_text():
    metrics = Metrics()
    metrics.count("refusals", 'queue "full"\n')
    metrics.count("refusals", 'queue "full"\n', 2)
    for value_ms in range(1, 101):
        metrics.observe("request", "answered", value_ms)
    text = metrics.format([("ready", 1)])
    assert r'heatherpick_refusals_total{label="queue \"full\"\n"} 3' in text
    assert 'heatherpick_request_ms{label="answered",quantile="0.99"} 99' in text
    assert 'heatherpick_request_ms_count{label="answered"} 100' in text
    assert text.endswith("heatherpick_ready 1\n")


def test_number_of_series_is_bounded(monkeypatch):
    monkeypatch.setattr(metrics_module, "MAX_SERIES", 3)
    metrics = Metrics()
    for index in range(10):
        metrics.count("refusals", f"reason {index}")
        metrics.observe("leg_ms", f"upstream {index}", 1.0)
    assert 'heatherpick_refusals_total{label="other"} 7' in metrics.format()
    assert 'heatherpick_leg_ms_count{label="other"} 7' in metrics.format()
