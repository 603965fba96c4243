"""Detects that this node lacks contact with the store and other data centres."""

__all__ = ["IsolationDetector"]

#: Time without contact outside the data centre after which a node that refuses its
#: callers counts as isolated, in seconds. In normal operation the store or a remote
#: upstream responds to a node more often.
MIN_SILENCE_S = 1.0
#: Refused requests since the last contact from which a node counts as isolated, so that
#: an idle node never does.
MIN_REFUSALS = 3
#: Remote upstreams that fail to answer since the last contact, the data centres that
#: they are in, and the time since the first of them was noticed in seconds, from which
#: a node counts as isolated. Connections that are all reset at once are replaced, and
#: the upstreams answer on them, in less than that time.
MIN_UNANSWERING = 3
MIN_UNANSWERING_DATA_CENTRES = 2
MIN_UNANSWERED_S = 0.1
#: Failed readiness checks in a row after which the balancer sends new connections to
#: other nodes.
N_CHECKS_TO_LEAVE = 2
#: Time after which a caller may retry while the balancer still sends it to nodes of
#: this data centre, and afterwards, in seconds.
RETRY_AFTER_BEFORE_LEAVING_S = 1.0
RETRY_AFTER_LEAVING_S = 0.0
#: Interval at which an isolated node still serves a request that it would refuse, as
#: the first response from another data centre ends the isolation, in seconds.
PROBE_INTERVAL_S = 0.25


class IsolationDetector:
    """Distinguishes an isolated node from one whose upstreams are down everywhere.

    A node is *isolated* if it has no contact with the store and other data centres. It
    reports not ready, and the balancer sends its callers to another data centre. Where
    only the upstreams are down, the store still responds, and no other node could serve
    the callers better.

    There are two signs of isolation, and each contact takes both back:

    - Several remote upstreams, of more than one data centre, fail to answer for a while
      and no other one answers. It takes a tenth of a second under load. Where upstreams
      are in one other data centre only, the loss of that data centre would look the
      same, so there this sign does not count.
    - The node refuses requests and has had no contact for a second.

    If the store is contacted although no remote upstream answers, the upstreams are at
    fault. The first sign then does not count until one of them answers again.

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

    __slots__ = (
        "_are_upstreams_at_fault",
        "_last_contact",
        "_n_failed_checks",
        "_n_refusals",
        "_next_probe_at",
        "_unanswered_since",
        "_unanswering",
    )

    def __init__(self, now):
        self._last_contact = now
        self._n_refusals = 0
        # Data centres by the ids of the remote upstreams that failed to answer.
        self._unanswering = {}
        self._unanswered_since = now
        self._are_upstreams_at_fault = False
        self._n_failed_checks = 0
        self._next_probe_at = now

    def record_contact(self, now):
        """Record that the store or another node had contact at a time in seconds."""
        if now <= self._last_contact:
            # Nodes that are isolated together still tell each other of old contacts.
            return
        if self._unanswering and now > self._unanswered_since:
            self._are_upstreams_at_fault = True
        self._reset(now)

    def record_response(self, now):
        """Record that a remote upstream responded."""
        self._are_upstreams_at_fault = False
        self._reset(now)

    def record_unanswered(self, upstream, sent_at, now):
        """Record that a leg failed without a response, or is late.

        Parameters
        ----------
        upstream : Upstream
            The upstream; it counts only if it is remote.
        sent_at, now : float
            When the leg was sent, and the current time, in seconds.
        """
        if not upstream.is_remote or sent_at <= self._last_contact:
            return
        if not self._unanswering:
            self._unanswered_since = now
        self._unanswering[upstream.entry.id] = upstream.entry.data_centre

    def record_refusal(self):
        """Record that a request could not be served."""
        self._n_refusals += 1

    def record_check(self, is_ready):
        """Record the response to a readiness check of the balancer."""
        self._n_failed_checks = 0 if is_ready else self._n_failed_checks + 1

    def is_isolated(self, now):
        """Return whether another data centre would serve the callers better."""
        if (
            self._n_refusals >= MIN_REFUSALS
            and now - self._last_contact > MIN_SILENCE_S
        ):
            return True
        return (
            len(self._unanswering) >= MIN_UNANSWERING
            and not self._are_upstreams_at_fault
            and now - self._unanswered_since >= MIN_UNANSWERED_S
            and len(set(self._unanswering.values())) >= MIN_UNANSWERING_DATA_CENTRES
        )

    def try_probe(self, now):
        """Return whether to serve the next request although the node is isolated."""
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_S
        return True

    @property
    def retry_after_s(self):
        """Time after which a caller that an isolated node refused may retry."""
        if self._n_failed_checks < N_CHECKS_TO_LEAVE:
            return RETRY_AFTER_BEFORE_LEAVING_S
        return RETRY_AFTER_LEAVING_S

    def _reset(self, now):
        self._last_contact = max(self._last_contact, now)
        self._n_refusals = 0
        self._unanswering.clear()
