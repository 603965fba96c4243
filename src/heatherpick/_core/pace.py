"""Limits on the extra legs of a service's searches, and the delay before a hedge."""

from heatherpick._core.budgets import Budget
from heatherpick._core.quantiles import StreamQuantile

__all__ = ["HedgePolicy"]

#: Highest number of extra legs of any service, as a share of its legs.
MAX_EXTRA_SHARE = 0.05
#: Extra legs that a service may send at once. They suffice to resend the legs that
#: were in flight at an owner that is lost.
RETRY_BURST_LEGS = 400.0
#: First estimate of the hedge delay, before any latency is known, in milliseconds.
INITIAL_HEDGE_DELAY_MS = 30.0
#: Shortest hedge delay, in milliseconds.
MIN_HEDGE_DELAY_MS = 2.0
#: Share of the hedge budget that the hedge delay aims to use. The rest is kept for
#: bursts, such as the loss of an owner with many open legs.
TARGET_BUDGET_USE = 0.7
#: Longest hedge delay, as a multiple of the median latency of a leg.
MAX_DELAY_IN_MEDIANS = 3.0


class HedgePolicy:
    """Budgets and hedge delay of one service.

    Parameters
    ----------
    service : Service
        Declares the hedge budget.

    Attributes
    ----------
    hedge_bucket : Budget
        Budget for hedges.
    extra_bucket : Budget
        Budget for extra legs of all kinds, including hedges.
    """

    def __init__(self, service):
        self.hedge_bucket = Budget(service.hedge_budget)
        self.extra_bucket = Budget(MAX_EXTRA_SHARE, RETRY_BURST_LEGS)
        p = 1.0 - TARGET_BUDGET_USE * service.hedge_budget
        self._high_quantile = StreamQuantile(
            p, INITIAL_HEDGE_DELAY_MS, MIN_HEDGE_DELAY_MS
        )
        self._median = StreamQuantile(0.5, INITIAL_HEDGE_DELAY_MS, MIN_HEDGE_DELAY_MS)

    @property
    def hedge_delay_ms(self):
        """Age at which an open leg is hedged, in milliseconds."""
        # After a slow start or a stall, the high quantile alone stays too large for
        # many queries, so that stragglers would not be hedged meanwhile.
        max_delay_ms = MAX_DELAY_IN_MEDIANS * self._median.value
        return min(self._high_quantile.value, max_delay_ms)

    def add_latency(self, elapsed_ms):
        """Add the latency of one leg to the estimates, in milliseconds."""
        self._high_quantile.add(elapsed_ms)
        self._median.add(elapsed_ms)

    def deposit(self, n_legs):
        """Add the extra legs that ``n_legs`` first legs allow to both budgets."""
        self.hedge_bucket.deposit(n_legs)
        self.extra_bucket.deposit(n_legs)

    def try_withdraw_hedge(self):
        """Take one leg from both budgets; return whether both had one."""
        return (
            self.extra_bucket.tokens >= 1.0
            and self.hedge_bucket.try_withdraw()
            and self.extra_bucket.try_withdraw()
        )
