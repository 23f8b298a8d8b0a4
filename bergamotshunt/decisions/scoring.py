"""Estimates of the load and latency of a server from stale load reports."""

from math import exp, inf
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.peers.members import Member

# Time constant with which a load report loses weight: load changes within
# milliseconds.
REPORT_DECAY_MS: Final = 200.0
# Time constant with which a slow or failed response is forgotten, so that
# the server gets requests again.
LATENCY_DECAY_MS: Final = 3000.0
SLOW_START_MS: Final = 10_000.0
SLOW_START_MIN_SHARE: Final = 0.1
# A round trip between availability zones, which are about 1 ms apart.
CROSS_ZONE_MS: Final = 2.0
# Concurrency limit of a server without a load report.
ASSUMED_LIMIT: Final = 10
# Weight of the squared occupancy: 1 reacts to bursts of slowness too late, and
# 4 sends more calls to a slow server.
OCCUPANCY_WEIGHT: Final = 2


class Candidate(NamedTuple):
    """A backend server as one sender sees it.

    A sender is a process that chooses servers for its own requests.

    Attributes:
        member: The daemon beside it.
        own_in_flight: Requests of this sender that are in flight.
        report: Last load report, or None.
        reported_at_ms: Monotonic time of that report.
        own_at_report: Own requests in flight at that time.
        latency_ms: Smoothed latency; a failure adds a penalty.
        latency_at_ms: Time of the last change of ``latency_ms``.
        waiting_since_ms: Time since which own requests have had no response.
        serving_since_ms: Time at which the server was first seen serving.
        near: Whether it is in the sender's availability zone.
    """

    member: Member
    own_in_flight: int = 0
    report: LoadReport | None = None
    reported_at_ms: float = 0
    own_at_report: int = 0
    latency_ms: float = 0
    latency_at_ms: float = -inf
    waiting_since_ms: float = 0
    serving_since_ms: float = -inf
    near: bool = True


class TypicalServer(NamedTuple):
    """Typical values over all servers of a service.

    Attributes:
        latency_ms: Smoothed latency over all servers.
        others_in_flight: Requests of other senders in flight on one server.
    """

    latency_ms: float = 1
    others_in_flight: float = 0


class ChoiceInput(NamedTuple):
    """Inputs of a choice besides the candidates.

    Attributes:
        now_ms: Monotonic time.
        rng: Random source.
        sequence: Number of the choice, for round robin.
        typical: Typical values over all candidates.
    """

    now_ms: float
    rng: Random
    sequence: int = 0
    typical: TypicalServer = TypicalServer()


def estimate_others_in_flight(
    candidate: Candidate, choice: ChoiceInput
) -> float:
    """Estimate the requests of other senders on a server.

    As the load report ages, the estimate moves from the reported to the
    typical value. So an old report of an idle server does not attract every
    sender, and an old report of a busy one does not keep it idle.
    """
    typical = choice.typical.others_in_flight
    report = candidate.report
    if report is None:
        return typical
    reported = report.in_flight + report.queued - candidate.own_at_report
    age_ms = max(choice.now_ms - candidate.reported_at_ms, 0)
    weight = exp(-age_ms / REPORT_DECAY_MS)
    return typical + (max(reported, 0) - typical) * weight


def occupancy(candidate: Candidate, choice: ChoiceInput) -> float:
    """Estimate the used share of a server's limit.

    Above 1, requests wait in its queue.
    """
    report = candidate.report
    limit = report.limit if report and report.limit else ASSUMED_LIMIT
    running = candidate.own_in_flight + estimate_others_in_flight(
        candidate, choice
    )
    return running / limit


def base_latency_ms(candidate: Candidate, choice: ChoiceInput) -> float:
    """Estimate the latency of a server without its queue."""
    typical_ms = choice.typical.latency_ms
    age_ms = max(choice.now_ms - candidate.latency_at_ms, 0)
    weight = exp(-age_ms / LATENCY_DECAY_MS)
    latency_ms = typical_ms + (candidate.latency_ms - typical_ms) * weight
    if candidate.own_in_flight:
        # Its latency is at least the time that own requests have waited.
        waited_ms = choice.now_ms - candidate.waiting_since_ms
        return max(latency_ms, waited_ms)
    return latency_ms


def expected_response_ms(candidate: Candidate, choice: ChoiceInput) -> float:
    """Estimate the response time of one more request, in ms."""
    occupied = occupancy(candidate, choice)
    # Other processes on the host and queueing add latency even before the
    # limit is reached.
    factor = 1 + OCCUPANCY_WEIGHT * occupied * occupied
    latency_ms = base_latency_ms(candidate, choice) * factor
    return latency_ms if candidate.near else latency_ms + CROSS_ZONE_MS


def slow_start_share(candidate: Candidate, now_ms: float) -> float:
    """Return the share of its requests that a server in slow start gets.

    It grows to 1 over ``SLOW_START_MS``.
    """
    age_ms = now_ms - candidate.serving_since_ms
    if age_ms >= SLOW_START_MS:
        return 1
    return max(age_ms / SLOW_START_MS, SLOW_START_MIN_SHARE)
