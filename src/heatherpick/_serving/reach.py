"""Detects that this node lacks contact with the store and other data centres."""

__all__ = ["IsolationDetector"]

#: Time without contact outside the data centre after which a node that refuses its
#: callers counts as isolated, in seconds. In normal operation the store or a remote
#: upstream responds to a node more often.
MIN_SILENCE_S = 1.0
#: Refused requests since the last contact from which a node counts as isolated, so that
#: an idle node never does.
MIN_REFUSALS = 3


class IsolationDetector:
    """Distinguishes an isolated node from one whose upstreams are down everywhere.

    A node is *isolated* if it refuses requests and has no contact with the store and
    other data centres. It reports not ready, and the balancer sends its callers to
    another data centre. Where only the upstreams are down, the store still responds,
    and no other node could serve the callers better.

    Parameters
    ----------
    now : float
        Time in seconds.

    Examples
    --------
    >>> detector = IsolationDetector(now=0.0)
    >>> for _ in range(3):
    ...     detector.record_refusal()
    >>> detector.is_isolated(0.5), detector.is_isolated(1.5)
    (False, True)
    >>> detector.record_contact(2.0)
    >>> detector.is_isolated(9.0)
    False
    """

    __slots__ = ("_last_contact", "_n_refusals")

    def __init__(self, now):
        self._last_contact = now
        self._n_refusals = 0

    def record_contact(self, now):
        """Record that the store or a remote upstream responded at a time in seconds."""
        if now <= self._last_contact:
            # Nodes that are isolated together still tell each other of old contacts.
            return
        self._last_contact = now
        self._n_refusals = 0

    def record_refusal(self):
        """Record that a request could not be served."""
        self._n_refusals += 1

    def is_isolated(self, now):
        """Return whether another data centre would serve the callers better."""
        return (
            self._n_refusals >= MIN_REFUSALS
            and now - self._last_contact > MIN_SILENCE_S
        )
