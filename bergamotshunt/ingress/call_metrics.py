"""What is counted and logged of each caller's request."""

from typing import Any, Final

from bergamotshunt.choice.calls import CallHead
from bergamotshunt.log import is_logged, log_event
from bergamotshunt.metrics import CALL_SECONDS, CALLS

MS_PER_S: Final = 1000


class CallMetrics:
    """Keeps the labelled metrics, which are slow to look up."""

    def __init__(self) -> None:
        """Create counts without labels in use."""
        self.counters: dict[tuple[str, str, str, str], Any] = {}
        self.histograms: dict[tuple[str, str], Any] = {}

    def record(
        self, head: CallHead, verdict: str, outcome: str, took_ms: float
    ) -> None:
        """Count a request that ended; internal checks are not counted."""
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
