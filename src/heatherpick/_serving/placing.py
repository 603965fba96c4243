"""What an upstream in another data centre must save for a leg to be sent there.

The load that this answers is a search: it is as late as its last leg, and each of its
parts crosses the border or does not. While there is time left for several legs one
after the other, an upstream nearby that is somewhat slower makes no caller wait, and
one far away costs the width of the links between data centres. The less time is left,
the more the quicker one is worth.
"""

__all__ = ["compute_border_cost"]

#: Cost of leaving the data centre for each leg that there would be time for, relative
#: to one leg of an idle upstream.
BORDER_COST = 0.15
#: Most legs one after the other that count.
MAX_CHANCES = 6.0


def compute_border_cost(left_ms, expected_ms):
    """Return the relative cost of sending a leg to another data centre.

    Parameters
    ----------
    left_ms : float
        Time until the answer is due, in milliseconds.
    expected_ms : float
        Time that a leg of the request usually takes, in milliseconds.

    Examples
    --------
    >>> compute_border_cost(left_ms=20.0, expected_ms=20.0)
    0.15
    >>> compute_border_cost(left_ms=100.0, expected_ms=20.0)
    0.75
    """
    n_chances = min(MAX_CHANCES, left_ms / expected_ms)
    return BORDER_COST * max(1.0, n_chances)
