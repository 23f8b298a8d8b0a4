"""What one daemon knows of the requests of each route."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bergamotshunt.decisions.averages import (
    RESPONSES,
    RunningMean,
    with_response,
)
from bergamotshunt.decisions.placement import UsualWork

# Once this many are known, only responses of servers with free slots count.
MIN_RESPONSES: Final = 10


class ResponseFacts(NamedTuple):
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
    crowded: bool = False


class RouteRecords:
    """Usual work and calls by the name of the route."""

    def __init__(self) -> None:
        """Create records without routes."""
        self._usual_by_route: dict[str, UsualWork] = {}
        self._calls_by_route: dict[str, dict[str, float]] = {}

    def usual(self, route: str) -> UsualWork:
        """Return what is usual of a route's requests."""
        return self._usual_by_route.get(route, UsualWork())

    def calls(self, route: str) -> Mapping[str, float]:
        """Return the calls of a usual run, by the service that gets them."""
        return self._calls_by_route.get(route, {})

    def note_response(self, route: str, facts: ResponseFacts) -> None:
        """Learn from a response."""
        known = self.usual(route)
        if facts.crowded and known.responses >= MIN_RESPONSES:
            return
        work = RunningMean(known.work_ms, known.responses)
        size = RunningMean(known.response_kib, known.responses)
        self._usual_by_route[route] = UsualWork(
            with_response(work, facts.work_ms).mean,
            size.with_figure(facts.size_kib, RESPONSES).mean,
            known.responses + 1,
        )
        self._note_calls(route, dict(facts.calls), known.responses)

    def _note_calls(
        self,
        route: str,
        made: Mapping[str, int],
        responses: int,
    ) -> None:
        known = self._calls_by_route.setdefault(route, {})
        for service in known.keys() | made.keys():
            usual = RunningMean(known.get(service, 0), responses)
            count = made.get(service, 0)
            known[service] = usual.with_figure(count, RESPONSES).mean
