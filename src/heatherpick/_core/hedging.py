"""How much extra load a service's searches may cause, and how soon."""

from heatherpick._core.budgets import Budget
from heatherpick._core.quantiles import StreamQuantile

__all__ = ["HedgePolicy"]

#: Extra load on upstreams that no service may exceed, as a share of its legs.
MAX_EXTRA_SHARE = 0.05
#: Extra legs that a service may spend at once, enough to send again what was in
#: flight at an owner that is lost.
RETRY_BURST_LEGS = 400.0
#: Age at which an open leg is first suspected, in milliseconds, before any is known.
INITIAL_HEDGE_DELAY_MS = 30.0
#: Earliest hedge, in milliseconds.
MIN_HEDGE_DELAY_MS = 2.0
#: Part of the hedging budget that the hedging age aims to use. The rest is kept
#: for bursts, such as an owner that is lost with many legs.
TARGET_BUDGET_USE = 0.7
#: Largest hedging age, in medians of a leg's latency.
MAX_DELAY_IN_MEDIANS = 3.0


class HedgePolicy:
    """Budgets and hedging age of one service.

    Parameters
    ----------
    service : Service
        Gives the hedging budget.

    Attributes
    ----------
    hedges : Budget
        Extra legs for late ones.
    extra : Budget
        Extra legs of every kind, hedges among them.
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
        """Age from which an open leg is hedged, in milliseconds."""
        # The high quantile alone follows a slow start or a stall for many queries,
        # while the stragglers that it should catch go unhedged.
        max_delay_ms = MAX_DELAY_IN_MEDIANS * self._median.value
        return min(self._high_quantile.value, max_delay_ms)

    def add_latency(self, elapsed_ms):
        """Take the time of one leg into account, in milliseconds."""
        self._high_quantile.add(elapsed_ms)
        self._median.add(elapsed_ms)

    def deposit(self, n_legs):
        """Add what ``n_legs`` legs of callers allow."""
        self.hedge_bucket.deposit(n_legs)
        self.extra_bucket.deposit(n_legs)

    def try_withdraw_hedge(self):
        """Take one hedge from both budgets; return whether there was one."""
        return (
            self.extra_bucket.tokens >= 1.0
            and self.hedge_bucket.try_withdraw()
            and self.extra_bucket.try_withdraw()
        )
