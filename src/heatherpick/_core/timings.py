"""Durations that bound heartbeats, vote leases and changes of membership."""

from dataclasses import dataclass

from heatherpick.errors import InvalidArgument

__all__ = ["Timings"]

#: Most by which two nodes' clocks may differ over one suspicion timeout, in seconds.
CLOCK_MARGIN_S = 0.2

#: Heartbeat intervals in one vote lease; more than 2, to allow for some delay.
HEARTBEATS_PER_LEASE = 2.2

#: Number of suspicion timeouts after which a silent member is removed.
REMOVE_FACTOR = 2.0

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Timings:
    """Durations of the membership protocol, all in seconds.

    Parameters
    ----------
    heartbeat_s : float
        Interval between heartbeats to the same peer in a small data centre.
    slow_heartbeat_s : float
        The same interval in the largest data centre.
    vote_lease_s : float
        Time for which a vote counts, from the sending of the heartbeat that the
        voter echoes.
    max_call_s : float
        Longest time that a call to an upstream may take.
    suspect_after_s : float
        Time without a heartbeat after which a member is suspected.
    remove_after_s : float
        Time without a heartbeat after which a member is removed.
    early_heartbeat_delay_s : float
        Delay before a heartbeat that is sent ahead of its interval, so that several
        changes share one heartbeat.
    join_wait_s : float
        Time that a new node waits for the members to add it before it adds itself.
    change_window_s, change_period_s : float
        While a change of membership is in progress, further changes join it only
        during the first ``change_window_s`` of every ``change_period_s``, so that
        the change can complete in between.
    vm_poll_interval_s : float
        Interval between requests for the platform's list of VMs.
    vm_missing_s : float
        Time for which a VM must be missing from that list before it counts as gone.
    """

    heartbeat_s: float = 0.5
    slow_heartbeat_s: float = 1.0
    vote_lease_s: float = 2.2
    max_call_s: float = 1.0
    suspect_after_s: float = 3.5
    remove_after_s: float = 7.0
    early_heartbeat_delay_s: float = 0.01
    join_wait_s: float = 2.0
    change_window_s: float = 1.5
    change_period_s: float = 8.0
    vm_poll_interval_s: float = 5.0
    vm_missing_s: float = 30.0

    def __post_init__(self):
        """Check that the calls of a lapsed vote end before a successor may start.

        Raises
        ------
        InvalidArgument
            ``suspect_after_s`` is too short for that.
        """
        min_suspect_after_s = self.vote_lease_s + self.max_call_s + CLOCK_MARGIN_S
        if self.suspect_after_s < min_suspect_after_s:
            raise InvalidArgument(
                f"suspect_after_s is {self.suspect_after_s}: set it to "
                f"{min_suspect_after_s} or more, which is the sum of vote_lease_s, "
                "max_call_s and the margin for clock differences"
            )

    @classmethod
    def from_settings(cls, settings):
        """Return the durations that follow from a node's `NodeSettings`."""
        vote_lease_s = settings.agree_within_ms / MS_PER_S
        suspect_after_s = settings.suspect_after_ms / MS_PER_S
        return cls(
            heartbeat_s=settings.heartbeat_ms / MS_PER_S,
            slow_heartbeat_s=vote_lease_s / HEARTBEATS_PER_LEASE,
            vote_lease_s=vote_lease_s,
            max_call_s=suspect_after_s - vote_lease_s - CLOCK_MARGIN_S,
            suspect_after_s=suspect_after_s,
            remove_after_s=REMOVE_FACTOR * suspect_after_s,
        )
