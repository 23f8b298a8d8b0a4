"""Metrics of all tasks in the text format of Prometheus."""

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

from bergamotshunt.task_metrics import BUCKETS_MS, Histogram, Series, Snapshot

PREFIX: Final = 'bergamotshunt_'
MS_PER_S: Final = 1000
# Upper bounds of the buckets, as values of the label ``le``.
BUCKET_BOUNDS_S: Final = (
    *(str(bound / MS_PER_S) for bound in BUCKETS_MS),
    '+Inf',
)


ScalarFamily = type[CounterMetricFamily] | type[GaugeMetricFamily]


class TaskMetricsCollector:
    """Exposes snapshots of task metrics to prometheus_client."""

    def __init__(self, snapshots: Sequence[Snapshot]) -> None:
        """Create a collector.

        Args:
            snapshots: Metrics of the tasks, one snapshot each.
        """
        self._snapshots = snapshots

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families of each snapshot."""
        for snapshot in self._snapshots:
            yield from _collect_scalars(CounterMetricFamily, snapshot.counters)
            yield from _collect_scalars(GaugeMetricFamily, snapshot.gauges)
            yield from _collect_histograms(snapshot)


def create_metrics_text(snapshots: Sequence[Snapshot]) -> bytes:
    """Encode snapshots in the text format of Prometheus."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(TaskMetricsCollector(snapshots))
    return generate_latest(registry)


def _group_by_name(all_series: Iterator[Series]) -> dict[str, list[Series]]:
    series_by_name: dict[str, list[Series]] = defaultdict(list)
    for series in all_series:
        series_by_name[series.name].append(series)
    return series_by_name


def _list_label_names(series: Series) -> list[str]:
    return [name for name, _ in series.labels]


def _list_label_values(series: Series) -> list[str]:
    return [label_value for _, label_value in series.labels]


def _collect_scalars(
    family_type: ScalarFamily,
    samples: Mapping[Series, float],
) -> Iterator[Metric]:
    for name, group in _group_by_name(iter(samples)).items():
        family = family_type(
            PREFIX + name,
            name.replace('_', ' '),
            labels=_list_label_names(group[0]),
        )
        for series in group:
            family.add_metric(_list_label_values(series), samples[series])
        yield family


def _collect_histograms(snapshot: Snapshot) -> Iterator[Metric]:
    for name, group in _group_by_name(iter(snapshot.histograms)).items():
        family = HistogramMetricFamily(
            f'{PREFIX}{name}_seconds',
            name.replace('_', ' '),
            labels=_list_label_names(group[0]),
        )
        for series in group:
            histogram = snapshot.histograms[series]
            family.add_metric(
                _list_label_values(series),
                _accumulate_buckets(histogram),
                histogram.sum_ms / MS_PER_S,
            )
        yield family


def _accumulate_buckets(histogram: Histogram) -> list[tuple[str, float]]:
    totals = accumulate(histogram.counts)
    return [
        (bound, float(total)) for bound, total in zip(BUCKET_BOUNDS_S, totals)
    ]
