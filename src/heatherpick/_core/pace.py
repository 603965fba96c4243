"""How much extra load a service's searches may cause, and how soon."""

from heatherpick._core.budgets import Budget
from heatherpick._core.quantiles import StreamQuantile

__all__ = ["Pace"]

#: Extra load on upstreams that no service may exceed, as a share of its legs.
HARD_EXTRA_SHARE = 0.05
#: Extra legs that a service may spend at once, enough to send again what was in
#: flight at an owner that is lost.
RETRY_BURST = 400.0
#: Age at which an open leg is first suspected, in milliseconds, before any is known.
INITIAL_HEDGE_MS = 30.0
#: Earliest hedge, in milliseconds.
LEAST_HEDGE_MS = 2.0
#: Part of the hedging budget that the hedging age aims to use. The rest is kept
#: for bursts, such as an owner that is lost with many legs.
HEDGE_AIM = 0.7
#: Largest hedging age, in medians of a leg's latency.
LARGEST_AGE = 3.0


class Pace:
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
        self.hedges = Budget(service.hedge_budget)
        self.extra = Budget(HARD_EXTRA_SHARE, RETRY_BURST)
        p = 1.0 - HEDGE_AIM * service.hedge_budget
        self._late_ms = StreamQuantile(p, INITIAL_HEDGE_MS, LEAST_HEDGE_MS)
        self._median_ms = StreamQuantile(0.5, INITIAL_HEDGE_MS, LEAST_HEDGE_MS)

    @property
    def hedge_age_ms(self):
        """Age from which an open leg is hedged, in milliseconds."""
        # The high quantile alone follows a slow start or a stall for many queries,
        # while the stragglers that it should catch go unhedged.
        largest = LARGEST_AGE * self._median_ms.value
        return min(self._late_ms.value, largest)

    def learn(self, elapsed_ms):
        """Take the time of one leg into account, in milliseconds."""
        self._late_ms.add(elapsed_ms)
        self._median_ms.add(elapsed_ms)

    def earn(self, n_legs):
        """Add what ``n_legs`` legs of callers allow."""
        self.hedges.earn(n_legs)
        self.extra.earn(n_legs)

    def spend_hedge(self):
        """Take one hedge from both budgets; return whether there was one."""
        return self.extra.tokens >= 1.0 and self.hedges.spend() and self.extra.spend()
