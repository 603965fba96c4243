"""One upstream as its owner sees it: slots in use, queue, ramp and calls."""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass

from heatherpick._core.messages import LegStatus
from heatherpick._core.queues import LegQueue
from heatherpick._core.ramp import Ramp
from heatherpick._declarations.model import Limit, Upstream

__all__ = ["ANSWER_STATUSES", "SlotUser", "UpstreamSlots", "UpstreamStatus"]

#: Legs that may wait for one upstream.
MAX_QUEUED_LEGS = 512

#: Share of the median service time below which a leg cannot be answered in time.
MIN_REMAINING_SHARE = 0.5

#: Statuses that show an upstream at work, whatever it said of one leg.
ANSWER_STATUSES = frozenset({LegStatus.ANSWERED, LegStatus.GONE})


class SlotUser(ABC):
    """Work other than legs that waits for a slot of an upstream."""

    @abstractmethod
    def handle_slot_granted(self, now):
        """Use the slot that was just taken for this user; returns effects."""

    @abstractmethod
    def handle_slot_refused(self, reason, now):
        """Note that no slot will come, and why; returns effects."""


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """What operators see of an upstream at its owner."""

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
    """Slots of one upstream.

    Parameters
    ----------
    upstream : Upstream
        The declared upstream.
    limit : Limit
        Its declared limit.
    group : UpstreamGroup
        Group by which it is owned.
    now : float
        Present time in seconds.
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
        """Put changed declarations in force."""
        if upstream.address != self.upstream.address:
            self.ramp.turn_cold(now)
        self.upstream = upstream
        self.group = group
        self.limit = limit
        self.ramp.set_limit(limit)

    def estimate_wait_s(self, n_ahead, allowance):
        """Return how long a leg behind ``n_ahead`` others waits to be sent."""
        if self.n_in_flight < allowance and n_ahead < self.ramp.n_legs:
            return 0.0
        n_calls_ahead = 1 + n_ahead // self.ramp.n_legs
        return n_calls_ahead * self.ramp.latency.mean_ms / 1000 / allowance

    def is_too_late(self, n_ahead, remaining_s, allowance):
        """Return whether a leg behind ``n_ahead`` others would be late."""
        if not self.ramp.latency.is_trusted:
            return False
        wait_s = self.estimate_wait_s(n_ahead, allowance)
        if wait_s == 0.0:
            return False
        return wait_s + self.ramp.latency.median_ms / 1000 > remaining_s

    def get_missed_deadline(self, now):
        """Return the time up to which a leg's deadline cannot be met any more."""
        # An idle upstream is always tried: else a wrong estimate never mends.
        if self.n_in_flight == 0 or not self.ramp.latency.is_trusted:
            return now
        return now + MIN_REMAINING_SHARE * self.ramp.latency.median_ms / 1000

    def update_ramp(self, statuses, event, started_at, n_legs, now):
        """Let the ramp learn from the statuses of an ended call.

        Parameters
        ----------
        statuses : set of LegStatus
            How its parts ended.
        event : CallEnded or OrderEnded
            Its end.
        started_at : float
            When it was sent, in seconds.
        n_legs : int
            Number of its legs.
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
            self.ramp.n_slots(now),
            self.ramp.n_legs,
            self.n_in_flight,
            self.queue.n_open,
            latency.mean_ms,
            latency.median_ms,
            latency.upper_ms,
        )
