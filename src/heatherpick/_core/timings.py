"""Times that bound heartbeats, leases and changes of membership."""

from dataclasses import dataclass

from heatherpick.errors import InvalidArgument

__all__ = ["Timings"]

#: Seconds by which two nodes may disagree about the length of a suspicion time.
CLOCK_MARGIN_S = 0.2

#: Heartbeats that must fit into the time for which a vote counts, with some delay.
HEARTBEATS_TO_AGREE = 2.2

#: Suspicion times after which a member is removed.
REMOVE_FACTOR = 2.0

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Timings:
    """Times of the membership, all in seconds.

    Parameters
    ----------
    heartbeat_s : float
        Time between two heartbeats to the same peer in a small data centre.
    slow_heartbeat_s : float
        The same in the largest data centre.
    agree_s : float
        Time for which a vote counts, from the sending of the heartbeat that the
        voter echoes.
    longest_call_s : float
        Longest time that a call to an upstream may take.
    suspect_s : float
        Time without a heartbeat after which a member is suspected.
    remove_s : float
        Time without a heartbeat after which a member is removed.
    early_s : float
        Delay that gathers several reasons for a heartbeat ahead of its time.
    join_wait_s : float
        Time that a new node gives the members to add it before it does so itself.
    batch_s, hold_s : float
        Of every ``hold_s`` after the start of a change of membership, further
        changes are taken in during the first ``batch_s`` only, so that the others
        can settle.
    vm_poll_s : float
        Time between two requests for the platform's list of VMs.
    vm_lag_s : float
        Time for which a VM must be missing from that list to count as gone.
    """

    heartbeat_s: float = 0.5
    slow_heartbeat_s: float = 1.0
    agree_s: float = 2.2
    longest_call_s: float = 1.0
    suspect_s: float = 3.5
    remove_s: float = 7.0
    early_s: float = 0.01
    join_wait_s: float = 2.0
    batch_s: float = 1.5
    hold_s: float = 8.0
    vm_poll_s: float = 5.0
    vm_lag_s: float = 30.0

    def __post_init__(self):
        """Check that a lapsed vote's last call ends before a successor starts."""
        least = self.agree_s + self.longest_call_s + CLOCK_MARGIN_S
        if self.suspect_s < least:
            raise InvalidArgument(
                f"suspect_s is {self.suspect_s}: set it to {least} or more, which is "
                "agree_s, longest_call_s and the margin for clocks"
            )

    @classmethod
    def from_settings(cls, settings):
        """Return the times that a node's `NodeSettings` give."""
        agree_s = settings.agree_within_ms / MS_PER_S
        suspect_s = settings.suspect_after_ms / MS_PER_S
        return cls(
            heartbeat_s=settings.heartbeat_ms / MS_PER_S,
            slow_heartbeat_s=agree_s / HEARTBEATS_TO_AGREE,
            agree_s=agree_s,
            longest_call_s=suspect_s - agree_s - CLOCK_MARGIN_S,
            suspect_s=suspect_s,
            remove_s=REMOVE_FACTOR * suspect_s,
        )
