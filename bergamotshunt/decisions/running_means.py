"""Running means in which the latest samples count most."""

from typing import Final, NamedTuple

# Number of responses after which older ones lose weight in a mean.
MEAN_SAMPLES: Final = 20
# A response counts with at most this factor of the typical work, so that a
# single long run does not dominate the mean.
MAX_SAMPLE_FACTOR: Final = 3.0


class RunningMean(NamedTuple):
    """Running mean of samples.

    Attributes:
        mean: The mean.
        samples: Number of samples so far.
    """

    mean: float = 0
    samples: int = 0

    def with_sample(self, sample: float, memory: int) -> 'RunningMean':
        """Return the mean with one more sample.

        Args:
            sample: The sample.
            memory: Number of samples after which older ones lose weight.
        """
        samples = self.samples + 1
        weight = 1 / min(samples, memory)
        return RunningMean(self.mean + (sample - self.mean) * weight, samples)


def with_work_sample(typical: RunningMean, work_ms: float) -> RunningMean:
    """Return the typical work with that of one more response, in ms."""
    if typical.samples:
        work_ms = min(work_ms, typical.mean * MAX_SAMPLE_FACTOR)
    return typical.with_sample(work_ms, MEAN_SAMPLES)
