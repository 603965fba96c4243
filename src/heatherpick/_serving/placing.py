"""Cost of sending a leg to an upstream in another data centre.

The rule is made for searches: a search is as late as its last leg, and each leg is sent
within the data centre or out of it. While there is time for several legs in sequence, a
somewhat slower local upstream delays no caller, whereas a remote one uses up bandwidth
between data centres. The less time is left, the more a faster upstream is worth.
"""

__all__ = ["compute_remote_cost"]

#: Cost of leaving the data centre for each sequential leg that there is time for,
#: relative to one leg at an idle upstream.
REMOTE_COST = 0.15
#: Most sequential legs that count.
MAX_ATTEMPTS = 6.0


def compute_remote_cost(remaining_ms, expected_ms):
    """Return the relative cost of sending a leg to another data centre.

    Parameters
    ----------
    remaining_ms : float
        Time until the answer is due, in milliseconds.
    expected_ms : float
        Usual latency of a leg of the request, in milliseconds.

    Examples
    --------
    >>> compute_remote_cost(remaining_ms=20.0, expected_ms=20.0)
    0.15
    >>> compute_remote_cost(remaining_ms=100.0, expected_ms=20.0)
    0.75
    """
    n_attempts = min(MAX_ATTEMPTS, remaining_ms / expected_ms)
    return REMOTE_COST * max(1.0, n_attempts)
