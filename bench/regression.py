"""Linear least squares with confidence intervals of the coefficients."""

from dataclasses import dataclass

import numpy as np

__all__ = ["Coefficient", "fit_linear"]

#: Two-sided 95% quantile of Student's distribution by degrees of freedom. A number
#: between two entries uses the smaller one, which gives a wider interval.
_T_95 = (
    (1, 12.706),
    (2, 4.303),
    (3, 3.182),
    (4, 2.776),
    (5, 2.571),
    (6, 2.447),
    (8, 2.306),
    (10, 2.228),
    (15, 2.131),
    (20, 2.086),
    (30, 2.042),
)


@dataclass(frozen=True, slots=True)
class Coefficient:
    """Estimate of one coefficient.

    Parameters
    ----------
    value : float
        The estimate.
    margin : float
        Half the width of its 95% confidence interval.
    """

    value: float
    margin: float

    def scale(self, factor):
        """Return the coefficient in another unit."""
        return Coefficient(self.value * factor, self.margin * factor)


def fit_linear(rows, values):
    """Return the constant and the `Coefficient` of each column of ``rows``.

    Parameters
    ----------
    rows : list of sequence of float
        Independent variables of each value, without the constant.
    values : list of float
        Dependent variable, one value per row; more rows than coefficients.

    Returns
    -------
    list of Coefficient
        The constant first.

    Examples
    --------
    >>> constant, slope = fit_linear([[1], [2], [3], [4]], [3.0, 5.0, 7.0, 9.0])
    >>> round(constant.value, 6), round(slope.value, 6), slope.margin < 1e-6
    (1.0, 2.0, True)
    """
    matrix = np.column_stack([np.ones(len(rows)), np.asarray(rows, dtype=float)])
    target = np.asarray(values, dtype=float)
    solution, *_ = np.linalg.lstsq(matrix, target)
    n_free = len(target) - matrix.shape[1]
    residual = target - matrix @ solution
    variance = residual @ residual / n_free
    spread = np.sqrt(np.diag(np.linalg.pinv(matrix.T @ matrix)) * variance)
    margins = spread * _find_quantile(n_free)
    return [
        Coefficient(float(value), float(margin))
        for value, margin in zip(solution, margins, strict=True)
    ]


def _find_quantile(n_free):
    return [quantile for limit, quantile in _T_95 if limit <= n_free][-1]
