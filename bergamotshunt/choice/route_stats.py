"""Statistics that one daemon keeps of the requests of each route."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bergamotshunt.decisions.running_means import (
    MEAN_SAMPLES,
    RunningMean,
    with_work_sample,
)
from bergamotshunt.decisions.server_choice import TypicalWork
from bergamotshunt.routing import Route

# After this many responses, only those of servers below saturation count.
MIN_RESPONSES: Final = 10
# Work of a route's requests before the first response, as a share of its
# latency objective: operators set that to several times the work.
ASSUMED_WORK_SHARE: Final = 0.25


class ResponseSample(NamedTuple):
    """Measurements of one response.

    Attributes:
        work_ms: Run time on the server at the baseline pace, in
            milliseconds.
        size_kib: Size of the response in KiB.
        calls: Called services, each with the number of calls of the run.
        saturated: Whether nearly all slots of the server were in use, which
            may have slowed the run down.
    """

    work_ms: float
    size_kib: float
    calls: Iterable[tuple[str, int]] = ()
    saturated: bool = False


class RouteStats:
    """Typical work and calls by the name of the route."""

    def __init__(self) -> None:
        """Create statistics without routes."""
        self._typical_by_route: dict[str, TypicalWork] = {}
        self._calls_by_route: dict[str, dict[str, float]] = {}
        self._request_kib_by_route: dict[str, RunningMean] = {}

    def typical_work(self, route: str) -> TypicalWork:
        """Return the typical work of a route's requests."""
        return self._typical_by_route.get(route, TypicalWork())

    def typical_request(
        self, route: Route, request_kib: float | None
    ) -> TypicalWork:
        """Return the typical work of a request with a body of some size.

        Before the first response of its route, the work is assumed from the
        latency objective: a daemon that has just started would otherwise
        let requests wait that cannot meet theirs.

        Args:
            route: Its route.
            request_kib: Size of its body in KiB; None if it is not stated,
                then the mean of other requests takes its place.
        """
        known = self._request_kib_by_route.get(route.name, RunningMean())
        size_kib = known.mean if request_kib is None else request_kib
        typical = self.typical_work(route.name)
        assumed_ms = route.latency_objective_ms * ASSUMED_WORK_SHARE
        return typical._replace(
            work_ms=typical.work_ms or assumed_ms, request_kib=size_kib
        )

    def record_request(self, route: str, request_kib: float) -> None:
        """Record the size of a request's body, in KiB."""
        known = self._request_kib_by_route.get(route, RunningMean())
        self._request_kib_by_route[route] = known.with_sample(
            request_kib, MEAN_SAMPLES
        )

    def mean_calls_by_service(self, route: str) -> Mapping[str, float]:
        """Return the mean number of calls of a run, by called service."""
        return self._calls_by_route.get(route, {})

    def record_response(self, route: str, response: ResponseSample) -> None:
        """Record a response of a route."""
        known = self.typical_work(route)
        if response.saturated and known.responses >= MIN_RESPONSES:
            return
        work = RunningMean(known.work_ms, known.responses)
        size = RunningMean(known.response_kib, known.responses)
        self._typical_by_route[route] = TypicalWork(
            with_work_sample(work, response.work_ms).mean,
            size.with_sample(response.size_kib, MEAN_SAMPLES).mean,
            known.responses + 1,
        )
        self._record_calls(route, dict(response.calls), known.responses)

    def _record_calls(
        self,
        route: str,
        calls: Mapping[str, int],
        responses: int,
    ) -> None:
        known = self._calls_by_route.setdefault(route, {})
        for service in known.keys() | calls.keys():
            mean_calls = RunningMean(known.get(service, 0), responses)
            count = calls.get(service, 0)
            known[service] = mean_calls.with_sample(count, MEAN_SAMPLES).mean
