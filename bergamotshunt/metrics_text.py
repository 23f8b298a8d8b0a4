"""Metrics as text, from the counts of all tasks."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from itertools import accumulate
from typing import Final

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from bergamotshunt.counts import BUCKETS_MS, Histogram, Series, Snapshot

PREFIX: Final = 'bergamotshunt_'
MS_PER_S: Final = 1000
BOUNDS_S: Final = (*(str(bound / MS_PER_S) for bound in BUCKETS_MS), '+Inf')


FigureFamily = type[CounterMetricFamily] | type[GaugeMetricFamily]


class CountsCollector:
    """Gives the counts of tasks to prometheus_client."""

    def __init__(self, snapshots: Sequence[Snapshot]) -> None:
        """Create a collector of these snapshots."""
        self._snapshots = snapshots

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        for snapshot in self._snapshots:
            yield from _collect_figures(CounterMetricFamily, snapshot.counters)
            yield from _collect_figures(GaugeMetricFamily, snapshot.gauges)
            yield from _collect_histograms(snapshot)


def create_metrics_text(snapshots: Sequence[Snapshot]) -> bytes:
    """Return the metrics in the text format of Prometheus."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(CountsCollector(snapshots))
    return generate_latest(registry)


def _by_name(series: Iterator[Series]) -> dict[str, list[Series]]:
    grouped: dict[str, list[Series]] = defaultdict(list)
    for one in series:
        grouped[one.name].append(one)
    return grouped


def _names(series: Series) -> list[str]:
    return [name for name, _ in series.labels]


def _texts(series: Series) -> list[str]:
    return [text for _, text in series.labels]


def _collect_figures(
    family_type: FigureFamily,
    figures: Mapping[Series, float],
) -> Iterator[Metric]:
    for name, group in _by_name(iter(figures)).items():
        family = family_type(
            PREFIX + name,
            name.replace('_', ' '),
            labels=_names(group[0]),
        )
        for series in group:
            family.add_metric(_texts(series), figures[series])
        yield family


def _collect_histograms(snapshot: Snapshot) -> Iterator[Metric]:
    for name, group in _by_name(iter(snapshot.histograms)).items():
        family = HistogramMetricFamily(
            f'{PREFIX}{name}_seconds',
            name.replace('_', ' '),
            labels=_names(group[0]),
        )
        for series in group:
            histogram = snapshot.histograms[series]
            family.add_metric(
                _texts(series),
                _buckets(histogram),
                histogram.sum_ms / MS_PER_S,
            )
        yield family


def _buckets(histogram: Histogram) -> list[tuple[str, float]]:
    sums = accumulate(histogram.counts)
    return [(bound, float(total)) for bound, total in zip(BOUNDS_S, sums)]
