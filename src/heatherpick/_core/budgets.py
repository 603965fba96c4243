"""Budgets that limit extra load to a share of the callers' own load."""

from heatherpick.errors import InvalidArgument

__all__ = ["Budget", "check_share"]

#: Extra legs that may be sent at once when the budget is full.
DEFAULT_BURST = 20.0


def check_share(share):
    """Raise `InvalidArgument` unless ``share`` lies between 0 and 1."""
    if not 0.0 <= share <= 1.0:
        raise InvalidArgument(f"share {share!r} is outside 0 to 1; give a fraction")


class Budget:
    """A token bucket that is filled by first legs and drained by extra ones.

    First legs are those that a search needs anyway, one for each shard. Extra legs are
    its hedges, and its retries where the upstream may have done work already.

    Parameters
    ----------
    share : float
        Extra legs allowed for each first leg, 0 to 1.
    burst : float, default=DEFAULT_BURST
        Capacity of the bucket in tokens; a token is one extra leg.

    Attributes
    ----------
    tokens : float
        Tokens in the bucket.
    n_legs_seen : int
        First legs so far.
    n_withdrawn : int
        Tokens withdrawn so far.

    Raises
    ------
    InvalidArgument
        ``share`` is outside 0 to 1.

    Examples
    --------
    >>> budget = Budget(share=0.5)
    >>> budget.deposit(n_legs=2)
    >>> budget.try_withdraw(), budget.try_withdraw()
    (True, False)
    """

    __slots__ = ("burst", "n_legs_seen", "n_withdrawn", "share", "tokens")

    def __init__(self, share, burst=DEFAULT_BURST):
        check_share(share)
        self.share = share
        self.burst = burst
        self.tokens = 0.0
        self.n_legs_seen = 0
        self.n_withdrawn = 0

    def deposit(self, n_legs):
        """Add the tokens that ``n_legs`` first legs allow."""
        self.n_legs_seen += n_legs
        self.tokens = min(self.burst, self.tokens + self.share * n_legs)

    def try_withdraw(self):
        """Withdraw one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.n_withdrawn += 1
        return True
