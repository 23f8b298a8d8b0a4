"""Means that follow the latest figures, from the first one on."""

from typing import Final, NamedTuple

# Older responses fade after this many.
RESPONSES: Final = 20
# One response moves the usual work by a factor of this at most.
MAX_FACTOR: Final = 3.0


class RunningMean(NamedTuple):
    """Mean of the last figures.

    Attributes:
        mean: The mean.
        figures: How many it was made from.
    """

    mean: float = 0
    figures: int = 0

    def with_figure(self, figure: float, memory: int) -> 'RunningMean':
        """Return the mean with one more figure.

        Args:
            figure: The figure.
            memory: Older figures fade after this many.
        """
        figures = self.figures + 1
        weight = 1 / min(figures, memory)
        return RunningMean(self.mean + (figure - self.mean) * weight, figures)


def with_response(usual: RunningMean, work_ms: float) -> RunningMean:
    """Return the usual work with that of one more response."""
    if usual.figures:
        work_ms = min(work_ms, usual.mean * MAX_FACTOR)
    return usual.with_figure(work_ms, RESPONSES)
