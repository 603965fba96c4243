"""Budgets that bound extra load to a share of the load that callers cause."""

from heatherpick.errors import InvalidArgument

__all__ = ["Budget", "check_share"]

#: Extra legs that may be spent at once after a quiet time.
DEFAULT_BURST = 20.0


def check_share(share):
    """Raise `InvalidArgument` unless ``share`` lies between 0 and 1."""
    if not 0.0 <= share <= 1.0:
        raise InvalidArgument(f"share {share!r} is outside 0 to 1; give a fraction")


class Budget:
    """A token bucket filled by the legs that callers cause.

    Parameters
    ----------
    share : float
        Extra legs allowed for each leg, 0 to 1.
    burst : float, default=BURST
        Most tokens that may be saved.

    Examples
    --------
    >>> budget = Budget(share=0.5)
    >>> budget.earn(n_legs=2)
    >>> budget.spend(), budget.spend()
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
        """Add what ``n_legs`` legs of callers allow."""
        self.n_legs_seen += n_legs
        self.tokens = min(self.burst, self.tokens + self.share * n_legs)

    def try_withdraw(self):
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.n_withdrawn += 1
        return True
