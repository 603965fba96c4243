"""Plots of results as SVG files."""

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot as plt

__all__ = ["plot_seconds", "plot_tails"]

_SIZE_INCHES = (7.0, 4.2)


def plot_tails(path, title, latencies_ms, deadline_ms):
    """Plot the share of requests slower than each latency, on log scales.

    Parameters
    ----------
    path : pathlib.Path
        SVG file to write.
    title : str
        Title of the plot.
    latencies_ms : dict of str to list of float
        Latencies by system.
    deadline_ms : float
        Deadline, drawn as a vertical line.
    """
    figure, axes = plt.subplots(figsize=_SIZE_INCHES)
    for system, values in latencies_ms.items():
        ordered = sorted(values)
        slower = [1 - rank / len(ordered) for rank in range(len(ordered))]
        axes.step(ordered, slower, label=system, where="post")
    axes.axvline(deadline_ms, color="grey", linestyle="--", label="deadline")
    axes.set(
        title=title,
        xlabel="latency from the planned arrival, ms",
        ylabel="share of requests that are slower",
        xscale="log",
        yscale="log",
    )
    axes.grid(True, which="both", alpha=0.3)
    axes.legend()
    _save(figure, path)


def plot_seconds(path, title, rows):
    """Plot errors, p99 and coverage per second in stacked panels.

    Parameters
    ----------
    path : pathlib.Path
        SVG file to write.
    title : str
        Title of the plot.
    rows : list of tuple of float
        Second, share of errors, p99 in milliseconds and coverage.
    """
    labels = ("share of errors", "p99, ms", "coverage")
    figure, panels = plt.subplots(len(labels), sharex=True, figsize=_SIZE_INCHES)
    seconds = [row[0] for row in rows]
    for column, (axes, label) in enumerate(zip(panels, labels, strict=True), start=1):
        axes.plot(seconds, [row[column] for row in rows], marker=".")
        axes.set_ylabel(label)
        axes.grid(True, alpha=0.3)
    panels[0].set_title(title)
    panels[-1].set_xlabel("second of the run")
    _save(figure, path)


def _save(figure, path):
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    # Without a date, equal data gives an identical file.
    figure.savefig(path, format="svg", metadata={"Date": None})
    plt.close(figure)
