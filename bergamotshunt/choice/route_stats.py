"""What one daemon knows of the requests of each route."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bergamotshunt.decisions.running_means import (
    MEAN_SAMPLES,
    RunningMean,
    with_work,
)
from bergamotshunt.decisions.server_choice import TypicalWork

# Once this many are known, only responses of servers with free slots count.
MIN_RESPONSES: Final = 10


class ResponseSample(NamedTuple):
    """What a response tells of the requests of its route.

    Attributes:
        work_ms: Time at the server at the usual pace.
        size_kib: Size of the response.
        calls: Service and number of the calls that the run made.
        crowded: Whether nearly all slots of the server were taken, which
            may have slowed the run.
    """

    work_ms: float
    size_kib: float
    calls: Iterable[tuple[str, int]] = ()
    saturated: bool = False


class RouteStats:
    """Usual work and calls by the name of the route."""

    def __init__(self) -> None:
        """Create records without routes."""
        self._typical_by_route: dict[str, TypicalWork] = {}
        self._calls_by_route: dict[str, dict[str, float]] = {}

    def typical_work(self, route: str) -> TypicalWork:
        """Return what is usual of a route's requests."""
        return self._typical_by_route.get(route, TypicalWork())

    def calls(self, route: str) -> Mapping[str, float]:
        """Return the calls of a usual run, by the service that gets them."""
        return self._calls_by_route.get(route, {})

    def record_response(self, route: str, response: ResponseSample) -> None:
        """Learn from a response."""
        known = self.typical_work(route)
        if response.saturated and known.responses >= MIN_RESPONSES:
            return
        work = RunningMean(known.work_ms, known.responses)
        size = RunningMean(known.response_kib, known.responses)
        self._typical_by_route[route] = TypicalWork(
            with_work(work, response.work_ms).mean,
            size.with_sample(response.size_kib, MEAN_SAMPLES).mean,
            known.responses + 1,
        )
        self._record_calls(route, dict(response.calls), known.responses)

    def _record_calls(
        self,
        route: str,
        made: Mapping[str, int],
        responses: int,
    ) -> None:
        known = self._calls_by_route.setdefault(route, {})
        for service in known.keys() | made.keys():
            typical_work = RunningMean(known.get(service, 0), responses)
            count = made.get(service, 0)
            known[service] = typical_work.with_sample(count, MEAN_SAMPLES).mean
