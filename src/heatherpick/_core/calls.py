"""Calls in flight to upstreams: building them and evaluating how they ended."""

from heatherpick._core.effects import (
    CalledLeg,
    CallUpstream,
    Count,
    EndSpan,
    Observe,
)
from heatherpick._core.messages import LegOutcome, LegStatus
from heatherpick._core.ramp import SLOW_FACTOR
from heatherpick._core.slots import ANSWER_STATUSES

__all__ = ["UpstreamCall"]

#: Last hexadecimal digits of a W3C trace context whose sampled flag is set.
_SAMPLED_DIGITS = frozenset("13579bdf")


class UpstreamCall:
    """A call in flight, which carries one or more legs.

    Parameters
    ----------
    call_id : int
        Unique id of the call.
    slots : UpstreamSlots
        The upstream that it is sent to.
    legs : list of QueuedLeg
        Its legs. Outcomes refer to them by their position.
    max_call_ms : float
        Longest time that it may take, whatever the deadlines of its legs.
    now : float
        Time at which it is sent, in seconds.

    Attributes
    ----------
    started_at : float
        Time at which it was sent, in seconds.
    timeout_ms : float
        Time after which it is abandoned.
    n_open : int
        Legs whose outcome has not been reported yet.
    is_cancelled : bool
        Whether the shell was asked to cancel it.
    has_missed_deadline : bool
        Whether the deadline of one of its legs passed in flight.
    """

    __slots__ = (
        "call_id",
        "is_cancelled",
        "has_missed_deadline",
        "legs",
        "n_open",
        "slots",
        "started_at",
        "timeout_ms",
    )

    def __init__(self, call_id, slots, legs, max_call_ms, now):
        self.call_id = call_id
        self.slots = slots
        self.legs = legs
        self.started_at = now
        remaining_ms = (max([leg.deadline for leg in legs]) - now) * 1000
        self.timeout_ms = min(remaining_ms, max_call_ms)
        self.n_open = len(legs)
        self.is_cancelled = False
        self.has_missed_deadline = False

    def build_effects(self):
        """Return the effects that send the call."""
        called_legs = []
        for index, leg in enumerate(self.legs):
            batch = leg.batch
            called_legs.append(
                CalledLeg(
                    index,
                    leg.spec,
                    batch.request_id,
                    batch.version,
                    batch.query,
                    batch.traceparent,
                )
            )
        upstream = self.slots.upstream
        group = self.slots.group.name
        wait_ms = (self.started_at - self.legs[0].arrived_at) * 1000
        return [
            CallUpstream(
                self.call_id,
                upstream.name,
                upstream.address,
                tuple(called_legs),
                self.timeout_ms,
            ),
            Observe("queue_wait_ms", group, wait_ms),
            Count("legs_sent", group, len(called_legs)),
        ]

    def match_outcomes(self, event, effects):
        """Return one outcome for each leg, in the order of the legs.

        Outcomes with an unknown or duplicate index are dropped and counted. A leg
        without an outcome may have run, so its status is unknown.

        Parameters
        ----------
        event : CallEnded
            End of the call.
        effects : list
            List to which counts of dropped outcomes are appended.

        Returns
        -------
        list of LegOutcome
            The outcomes.
        """
        matched = [None] * len(self.legs)
        for outcome in event.outcomes:
            index = outcome.leg_id
            if not 0 <= index < len(matched) or matched[index] is not None:
                effects.append(Count("outcomes_dropped", "strange"))
            else:
                matched[index] = outcome
        for index, outcome in enumerate(matched):
            if outcome is None:
                shard = self.legs[index].spec.shard
                matched[index] = LegOutcome(
                    index, shard, LegStatus.UNKNOWN, reason="no outcome"
                )
        return matched

    def update_ramp(self, matched, event, now):
        """Report the end of the call to the upstream's ramp."""
        statuses = {outcome.status for outcome in matched}
        if self.is_cancelled and statuses.isdisjoint(ANSWER_STATUSES):
            # A call that was cancelled early says nothing about the upstream, but one
            # that stayed unanswered for long counts as a failure.
            if not self.has_missed_deadline and not self._is_overdue(event.elapsed_ms):
                return
        self.slots.update_ramp(statuses, event, self.started_at, len(self.legs), now)

    def build_spans(self, matched, now):
        """Return the effects that record a span for each sampled query."""
        spans = {}
        for leg, outcome in zip(self.legs, matched, strict=True):
            traceparent = leg.batch.traceparent
            if traceparent[-1:] in _SAMPLED_DIGITS and traceparent not in spans:
                spans[traceparent] = self._build_span(traceparent, outcome, now)
        return list(spans.values())

    def _build_span(self, traceparent, outcome, now):
        attributes = (
            ("upstream", self.slots.upstream.name),
            ("n_legs", len(self.legs)),
            ("status", outcome.status.name),
            ("cancelled", self.is_cancelled),
        )
        return EndSpan(traceparent, "upstream call", self.started_at, now, attributes)

    def _is_overdue(self, elapsed_ms):
        """Return whether the call took far longer than usual."""
        latency = self.slots.ramp.latency
        if latency.is_trusted:
            return elapsed_ms > SLOW_FACTOR * latency.upper_ms
        return elapsed_ms > self.timeout_ms / 2
