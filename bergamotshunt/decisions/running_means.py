"""Means that follow the latest figures, from the first one on."""

from typing import Final, NamedTuple

# Older responses fade after this many.
MEAN_SAMPLES: Final = 20
# One response moves the usual work by a factor of this at most.
MAX_SAMPLE_FACTOR: Final = 3.0


class RunningMean(NamedTuple):
    """Mean of the last figures.

    Attributes:
        mean: The mean.
        figures: How many it was made from.
    """

    mean: float = 0
    samples: int = 0

    def with_sample(self, sample: float, memory: int) -> 'RunningMean':
        """Return the mean with one more figure.

        Args:
            figure: The figure.
            memory: Older figures fade after this many.
        """
        samples = self.samples + 1
        weight = 1 / min(samples, memory)
        return RunningMean(self.mean + (sample - self.mean) * weight, samples)


def with_work(typical: RunningMean, work_ms: float) -> RunningMean:
    """Return the usual work with that of one more response."""
    if typical.samples:
        work_ms = min(work_ms, typical.mean * MAX_SAMPLE_FACTOR)
    return typical.with_sample(work_ms, MEAN_SAMPLES)
