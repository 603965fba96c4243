"""Results as a text table."""

__all__ = ["format_table"]

_HEADINGS = ("name", "value", "unit", "target", "met", "baselines")
_VERDICTS = {None: "", True: "yes", False: "NO"}


def format_table(results):
    """Return the text of a table with a row for each `Result`."""
    rows = [_HEADINGS, *(_build_row(each) for each in results)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADINGS))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _build_row(result):
    baselines = (f"{name} {_format(value)}" for name, value in result.baseline.items())
    return (
        result.name,
        _format(result.value),
        result.unit,
        "" if result.bound is None else str(result.bound),
        _VERDICTS[result.holds],
        ", ".join(baselines),
    )


def _format(value):
    return "not measured" if value is None else f"{value:.4g}"
