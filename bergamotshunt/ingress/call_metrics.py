"""Metrics and log line of each finished request of a caller."""

from typing import Any, Final

from bergamotshunt.choice.calls import CallHead
from bergamotshunt.log import is_logged, log_event
from bergamotshunt.metrics import CALL_SECONDS, CALLS

MS_PER_S: Final = 1000


class CallMetrics:
    """Caches the labelled metrics, because looking up labels is slow."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self.counters: dict[tuple[str, str, str, str], Any] = {}
        self.histograms: dict[tuple[str, str], Any] = {}

    def record(
        self, head: CallHead, verdict: str, outcome: str, took_ms: float
    ) -> None:
        """Log and count a finished request; internal checks are only logged.

        Args:
            head: The request.
            verdict: Whether the request ran.
            outcome: ``answered``, or the reason of the failure.
            took_ms: Time from its arrival to its end in milliseconds.
        """
        if is_logged('debug'):
            log_event(
                'entry:call',
                level='debug',
                service=head.service,
                target=head.target.name,
                request_id=head.request_id,
                verdict=verdict,
                outcome=outcome,
                took_ms=round(took_ms, 3),
            )
        if head.internal:
            return
        labels = (head.service, head.target.name)
        counter = self.counters.get((*labels, verdict, outcome))
        if counter is None:
            counter = CALLS.labels(*labels, verdict, outcome)
            self.counters[(*labels, verdict, outcome)] = counter
        counter.inc()
        histogram = self.histograms.get(labels)
        if histogram is None:
            histogram = CALL_SECONDS.labels(*labels)
            self.histograms[labels] = histogram
        histogram.observe(took_ms / MS_PER_S)
