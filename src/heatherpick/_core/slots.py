"""State of one upstream at its owner: slots in use, queue of legs and ramp.

A slot is the right to run one call to the upstream.
"""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from heatherpick._core.messages import LegStatus
from heatherpick._core.queues import LegQueue
from heatherpick._core.ramp import Ramp
from heatherpick._declarations.model import Limit, Upstream

__all__ = ["ANSWER_STATUSES", "SlotUser", "UpstreamSlots", "UpstreamStatus"]

#: Capacity of the queue of one upstream, in legs.
MAX_QUEUED_LEGS = 512

#: Share of the median latency below which the remaining time of a leg is too short.
MIN_REMAINING_SHARE = 0.5

#: Statuses that show that an upstream is working, whatever became of the leg.
ANSWER_STATUSES = frozenset({LegStatus.ANSWERED, LegStatus.GONE})


class SlotUser(ABC):
    """Work other than a leg that needs a slot of an upstream."""

    @abstractmethod
    def handle_slot_granted(self, now):
        """Use the slot that was just reserved for this user; return effects."""

    @abstractmethod
    def handle_slot_refused(self, reason, now):
        """Handle the refusal of a slot for ``reason``; return effects."""


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """Status of an upstream at its owner, for the status page."""

    name: str
    condition: str
    refusal: str
    n_slots: int
    n_legs_per_call: int
    n_in_flight: int
    n_queued: int
    mean_ms: float
    median_ms: float
    upper_ms: float


class UpstreamSlots:
    """Slots, queue and ramp of one upstream.

    Parameters
    ----------
    upstream : Upstream
        The declared upstream.
    limit : Limit
        Its declared limit.
    group : UpstreamGroup
        Group of upstreams to which it belongs; a group has one owner.
    now : float
        Present time in seconds.

    Attributes
    ----------
    waiting_users : deque of SlotUser
        Users that wait for a slot, in order of arrival.
    n_in_flight : int
        Slots in use.
    refusal : str
        Why the upstream gets no more work; empty if it may.
    """

    def __init__(self, upstream, limit, group, now):
        self.upstream = upstream
        self.group = group
        self.limit = limit
        self.ramp = Ramp.from_limit(limit, now)
        self.queue = LegQueue()
        self.waiting_users = deque()
        self.n_in_flight = 0
        self.refusal = ""

    def update_declaration(self, upstream: Upstream, limit: Limit, group, now):
        """Apply changed declarations."""
        if upstream.address != self.upstream.address:
            self.ramp.turn_cold(now)
        self.upstream = upstream
        self.group = group
        self.limit = limit
        self.ramp.set_limit(limit)

    def estimate_wait_s(self, n_ahead, allowance):
        """Return the time for which a leg behind ``n_ahead`` others will wait.

        ``allowance`` is the number of calls that may run at once.
        """
        if self.n_in_flight < allowance and n_ahead < self.ramp.n_legs_per_call:
            return 0.0
        n_calls_ahead = 1 + n_ahead // self.ramp.n_legs_per_call
        return n_calls_ahead * self.ramp.latency.mean_ms / 1000 / allowance

    def is_too_late(self, n_ahead, remaining_s, allowance):
        """Return whether a leg behind ``n_ahead`` others would miss its deadline."""
        if not self.ramp.latency.is_trusted:
            return False
        wait_s = self.estimate_wait_s(n_ahead, allowance)
        if wait_s == 0.0:
            return False
        return wait_s + self.ramp.latency.median_ms / 1000 > remaining_s

    def get_missed_deadline(self, now):
        """Return the latest deadline that can no longer be met, in seconds."""
        # An idle upstream is always tried. Otherwise a wrong estimate would refuse all
        # legs and never be corrected.
        if self.n_in_flight == 0 or not self.ramp.latency.is_trusted:
            return now
        return now + MIN_REMAINING_SHARE * self.ramp.latency.median_ms / 1000

    def update_ramp(self, statuses, event, started_at, n_legs, now):
        """Report the end of a call to the ramp.

        Parameters
        ----------
        statuses : set of LegStatus
            Outcomes of the legs, or of the order.
        event : CallEnded or OrderEnded
            End of the call.
        started_at : float
            Time at which the call was sent, in seconds.
        n_legs : int
            Number of legs in the call; 1 for an order.
        now : float
            Present time in seconds.
        """
        ramp = self.ramp
        if not statuses.isdisjoint(ANSWER_STATUSES):
            ramp.handle_answer(
                event.instance, started_at, event.elapsed_ms, n_legs, now
            )
            return
        if ramp.is_new_instance(event.instance, started_at):
            ramp.turn_cold(now)
        if LegStatus.SHED in statuses:
            ramp.handle_shed(now)
        else:
            ramp.handle_failure(LegStatus.FAILED in statuses, now)

    def describe(self, now):
        """Return the upstream's `UpstreamStatus`."""
        latency = self.ramp.latency
        return UpstreamStatus(
            self.upstream.name,
            self.ramp.condition,
            self.refusal,
            self.ramp.count_slots(now),
            self.ramp.n_legs_per_call,
            self.n_in_flight,
            self.queue.n_open,
            latency.mean_ms,
            latency.median_ms,
            latency.upper_ms,
        )
