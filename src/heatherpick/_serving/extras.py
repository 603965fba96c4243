"""Limits the extra legs that this node sends.

An extra leg is a hedge or a retry: a leg of a shard of which an earlier one may have
reached an upstream. The fleet has an allowance of extra legs for each service, and each
node a budget from it.
"""

__all__ = ["ExtraLegBudget"]

#: Share of the fleet's allowed extra legs per request that the nodes use.
USED_SHARE = 0.9
#: Shares of the fleet's slack that may be saved up for a burst, and that is refilled
#: over a window. A restart of all nodes within a window spends the burst twice and
#: still stays within the slack.
BURST_SHARE = 0.3
REFILL_SHARE = 0.4
#: Length of the window that the slack holds for, in seconds.
WINDOW_S = 10.0
#: Saved legs that count as a surplus: a number, and a share of the burst.
MIN_SURPLUS = 2.0
SURPLUS_SHARE = 0.6
#: Nodes assumed while their number is unknown.
ASSUMED_N_NODES = 128


class ExtraLegBudget:
    """Budget of this node for extra legs: a token bucket for each service.

    A bucket is filled by requests to the service and with time.

    Parameters
    ----------
    share : float
        Extra legs that the fleet may send to a service for each request to it.
    slack : float
        Extra legs that the fleet may send to a service in each window in addition.

    Examples
    --------
    >>> budget = ExtraLegBudget(share=0.2, slack=100.0)
    >>> budget.set_node_share(1 / 10)
    >>> budget.deposit("parts", now=0.0)
    >>> [budget.try_withdraw("parts", now=0.0) for _ in range(3)]
    [True, True, True]
    """

    def __init__(self, share, slack):
        self._node_share = 1.0 / ASSUMED_N_NODES
        self._buckets = {}
        self.set_allowance(share, slack)

    def set_allowance(self, share, slack):
        """Set what the fleet may send; see the class for the parameters."""
        self._share = USED_SHARE * share
        self._slack = slack
        self._update_limits()

    def set_node_share(self, node_share):
        """Set this node's share of the fleet's slack, 0 to 1."""
        self._node_share = node_share
        self._update_limits()

    def _update_limits(self):
        node_slack = self._slack * self._node_share
        self._max_tokens = max(1.0, BURST_SHARE * node_slack)
        self._tokens_per_s = REFILL_SHARE * node_slack / WINDOW_S

    def deposit(self, service, now):
        """Add the tokens for one request to a service."""
        bucket = self._refill(service, now)
        bucket[0] = min(self._max_tokens, bucket[0] + self._share)

    def has_surplus(self, service, now):
        """Return whether tokens may be spent on legs that are not yet urgent."""
        bucket = self._refill(service, now)
        return bucket[0] >= max(MIN_SURPLUS, SURPLUS_SHARE * self._max_tokens)

    def try_withdraw(self, service, now):
        """Withdraw the token for one leg; return whether there was one."""
        bucket = self._refill(service, now)
        if bucket[0] < 1.0:
            return False
        bucket[0] -= 1.0
        return True

    def _refill(self, service, now):
        """Return the refilled bucket of a service: tokens and refill time."""
        bucket = self._buckets.get(service)
        if bucket is None:
            # A new bucket is full, although nodes that all restart may then spend it
            # twice in one window: otherwise a node with few requests would have no
            # token for its first ones.
            bucket = self._buckets[service] = [self._max_tokens, now]
            return bucket
        n_tokens = bucket[0] + (now - bucket[1]) * self._tokens_per_s
        bucket[0] = min(self._max_tokens, n_tokens)
        bucket[1] = now
        return bucket
