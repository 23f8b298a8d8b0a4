"""Counters, gauges and latency histograms that a task keeps.

They are plain figures: prometheus_client costs over 5 MB of memory, so it is
imported only when the metrics are asked for the first time.
"""

from bisect import bisect_left
from typing import Final, NamedTuple

Labels = tuple[tuple[str, str], ...]

BUCKETS_MS: Final = (
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1000,
    2000,
)


class Series(NamedTuple):
    """Name and labels of one series."""

    name: str
    labels: Labels = ()


class Histogram(NamedTuple):
    """Latencies in buckets.

    Attributes:
        counts: Latencies in each bucket; the last one has no bound.
        sum_ms: Sum of all latencies.
    """

    counts: tuple[int, ...]
    sum_ms: float


class Snapshot(NamedTuple):
    """All series of a task at a moment."""

    counters: dict[Series, int]
    gauges: dict[Series, float]
    histograms: dict[Series, Histogram]


class TaskMetrics:
    """The series of one task."""

    def __init__(self) -> None:
        """Create counts without a series."""
        self._counters: dict[Series, int] = {}
        self._gauges: dict[Series, float] = {}
        self._buckets: dict[Series, list[int]] = {}
        self._sums_ms: dict[Series, float] = {}

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter; labels take values from small fixed sets."""
        series = Series(name, tuple(labels.items()))
        self._counters[series] = self._counters.get(series, 0) + amount

    def set_gauge(self, name: str, amount: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauges[Series(name, tuple(labels.items()))] = amount

    def observe(self, name: str, latency_ms: float, **labels: str) -> None:
        """Add a latency to a histogram."""
        series = Series(name, tuple(labels.items()))
        buckets = self._buckets.get(series)
        if buckets is None:
            buckets = [0 for _ in range(len(BUCKETS_MS) + 1)]
            self._buckets[series] = buckets
        buckets[bisect_left(BUCKETS_MS, latency_ms)] += 1
        previous_ms = self._sums_ms.get(series, 0)
        self._sums_ms[series] = previous_ms + latency_ms

    def snapshot(self) -> Snapshot:
        """Return all series as they are now."""
        return Snapshot(
            dict(self._counters),
            dict(self._gauges),
            {
                series: Histogram(tuple(buckets), self._sums_ms[series])
                for series, buckets in self._buckets.items()
            },
        )
