"""Outcomes of legs, collected so that those of one query go in one message."""

from heatherpick._core.effects import Count, SendPeer
from heatherpick._core.messages import LegOutcome, LegResults, LegStatus

__all__ = ["OutcomeCollector"]


class OutcomeCollector:
    """Collects the outcomes of legs that one event causes."""

    def __init__(self):
        self._outcomes = {}
        self._n_refused = {}

    def add(self, leg, outcome):
        """Add the `LegOutcome` of a `QueuedLeg`."""
        key = (leg.source, leg.batch.request_id)
        self._outcomes.setdefault(key, []).append(outcome)

    def add_refusal(self, source, request_id, spec, reason):
        """Add the outcome of a leg that was not sent, and count its reason.

        Parameters
        ----------
        source : str
            Node that sent the leg.
        request_id : str
            Id of the leg's request.
        spec : LegSpec
            The leg.
        reason : str
            Why it was not sent.
        """
        self._n_refused[reason] = self._n_refused.get(reason, 0) + 1
        outcome = LegOutcome(spec.leg_id, spec.shard, LegStatus.NOT_SENT, reason=reason)
        self._outcomes.setdefault((source, request_id), []).append(outcome)

    def build_effects(self):
        """Return the messages to the legs' source nodes and the counts of refusals."""
        effects = [
            SendPeer(source, LegResults(request_id, tuple(outcomes)))
            for (source, request_id), outcomes in self._outcomes.items()
        ]
        for reason, n_refused in self._n_refused.items():
            effects.append(Count("legs_not_sent", reason, n_refused))
        return effects
