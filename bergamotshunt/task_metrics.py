"""Counters, gauges and latency histograms of one task.

They are plain numbers: prometheus_client takes over 5 MB of memory, so it is
imported only when the metrics are requested for the first time.
"""

from bisect import bisect_left
from typing import Final, NamedTuple

Labels = tuple[tuple[str, str], ...]

# Upper bounds of the latency buckets; a last bucket without a bound follows.
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
    """Name and labels of one time series."""

    name: str
    labels: Labels = ()


class Histogram(NamedTuple):
    """Latencies of one series, counted by bucket.

    Attributes:
        counts: Number of latencies in each bucket of ``BUCKETS_MS``, not
            cumulative; the last bucket has no upper bound.
        sum_ms: Sum of all latencies.
    """

    counts: tuple[int, ...]
    sum_ms: float


class Snapshot(NamedTuple):
    """The metrics of a task at one point in time."""

    counters: dict[Series, int]
    gauges: dict[Series, float]
    histograms: dict[Series, Histogram]


class TaskMetrics:
    """The metrics that one task updates.

    Label values come from small fixed sets, which bounds the number of series.
    """

    def __init__(self) -> None:
        """Create metrics without any series."""
        self._counters: dict[Series, int] = {}
        self._gauges: dict[Series, float] = {}
        self._buckets: dict[Series, list[int]] = {}
        self._sums_ms: dict[Series, float] = {}

    def increment(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter by ``amount``."""
        series = Series(name, tuple(labels.items()))
        self._counters[series] = self._counters.get(series, 0) + amount

    def set_gauge(self, name: str, amount: float, **labels: str) -> None:
        """Set a gauge to ``amount``."""
        self._gauges[Series(name, tuple(labels.items()))] = amount

    def observe(self, name: str, latency_ms: float, **labels: str) -> None:
        """Record a latency in a histogram."""
        series = Series(name, tuple(labels.items()))
        buckets = self._buckets.get(series)
        if buckets is None:
            buckets = [0 for _ in range(len(BUCKETS_MS) + 1)]
            self._buckets[series] = buckets
        buckets[bisect_left(BUCKETS_MS, latency_ms)] += 1
        previous_ms = self._sums_ms.get(series, 0)
        self._sums_ms[series] = previous_ms + latency_ms

    def snapshot(self) -> Snapshot:
        """Return a copy of the current metrics."""
        return Snapshot(
            dict(self._counters),
            dict(self._gauges),
            {
                series: Histogram(tuple(buckets), self._sums_ms[series])
                for series, buckets in self._buckets.items()
            },
        )
