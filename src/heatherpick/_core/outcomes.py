"""Outcomes of legs, gathered so that each query's go in one message."""

from heatherpick._core.effects import Count, SendPeer
from heatherpick._core.messages import LegOutcome, LegResults, LegStatus

__all__ = ["OutcomeCollector"]


class OutcomeCollector:
    """Outcomes that one event brought about."""

    def __init__(self):
        self._outcomes = {}
        self._n_refused = {}

    def add(self, leg, outcome):
        """Take in the outcome of a `QueuedLeg`."""
        key = (leg.source, leg.batch.request_id)
        self._outcomes.setdefault(key, []).append(outcome)

    def add_refusal(self, source, request_id, spec, reason):
        """Take in that a leg was not sent, and why."""
        self._n_refused[reason] = self._n_refused.get(reason, 0) + 1
        outcome = LegOutcome(spec.leg_id, spec.shard, LegStatus.NOT_SENT, reason=reason)
        self._outcomes.setdefault((source, request_id), []).append(outcome)

    def build_effects(self):
        """Return the messages to the legs' sources and the counts of refusals."""
        effects = [
            SendPeer(source, LegResults(request_id, tuple(outcomes)))
            for (source, request_id), outcomes in self._outcomes.items()
        ]
        for reason, n_refused in self._n_refused.items():
            effects.append(Count("legs_not_sent", reason, n_refused))
        return effects
