"""Load generator: sends planned calls and checks their responses."""

from asyncio import create_task, gather, get_running_loop, sleep
from base64 import b64decode
from collections.abc import Callable
from hashlib import sha256
from typing import Any, Final, NamedTuple

from aiohttp import (
    ClientError,
    ClientSession,
    ClientTimeout,
    DummyCookieJar,
    TCPConnector,
)
from hdrh.histogram import HdrHistogram
from uuid6 import uuid7

from bench.plans import Call
from bergamotshunt.peers.headers import (
    BOOKING_KEY,
    CONTENT_DIGEST,
    DEADLINE_MS,
    INTERNAL,
    REQUEST_ID,
    SERVER,
    VERDICT,
)
from standins.backend import BOOKING_ID
from standins.backend_responses import OWN_REQUEST_ID

MAX_IN_FLIGHT: Final = 3000
MAX_LATENCY_US: Final = 120_000_000
# Significant decimal digits of the latency histogram.
SIGNIFICANT_DIGITS: Final = 3
# Time after its deadline at which a call without a response is abandoned.
RESPONSE_GRACE_S: Final = 1
Route = Callable[[Call], str]


class ObservedOutcome(NamedTuple):
    """Result of one call as its caller saw it.

    Attributes:
        call: The call.
        latency_ms: Time from the planned arrival to the end of the
            response, so that a late sender does not hide delay.
        status: HTTP status; 0 when there was no response.
        verdict: Verdict in the response headers, or empty.
        whole: Whether length and digest of the body match the headers.
        own: Whether the response belongs to the call or its booking.
        server: Server named in the response headers, or empty.
        detail: Error that prevented a response, or empty.
    """

    call: Call
    latency_ms: float
    status: int
    verdict: str = ''
    whole: bool = True
    own: bool = True
    server: str = ''
    detail: str = ''

    @property
    def answered(self) -> bool:
        """Return whether the status is 2xx, from a backend server."""
        return 200 <= self.status < 300

    @property
    def in_time(self) -> bool:
        """Return whether it was answered within the operators' target."""
        target_ms = self.call.kind.answered_within_ms
        return self.answered and self.latency_ms <= target_ms


class LoadGenerator:
    """Sends planned calls at their times (open-loop load).

    Args:
        route: Returns the base URL for a call, with the service.
        on_end: Called with each call that ended.
    """

    def __init__(
        self,
        route: Route,
        on_end: Callable[[Call], None] | None = None,
    ) -> None:
        """Create the generator without sending."""
        self.route = route
        self.on_end = on_end
        self.in_flight = 0
        self.keys_by_booking: dict[str, str] = {}

    async def run(self, calls: list[Call]) -> list[ObservedOutcome]:
        """Send all calls at their planned times and return the outcomes."""
        loop = get_running_loop()
        self.session = ClientSession(
            connector=TCPConnector(limit=0),
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
        )
        # aiohttp resends a request on a lost connection by default; a resent
        # booking would be counted as a duplicate execution.
        self.session._retry_connection = False
        start_s = loop.time()
        send_tasks = []
        async with self.session:
            for call in calls:
                await sleep(max(0, start_s + call.at_s - loop.time()))
                send_tasks.append(create_task(self.send(call, start_s)))
            return list(await gather(*send_tasks))

    async def send(self, call: Call, start_s: float) -> ObservedOutcome:
        """Send one call and check its response.

        Args:
            call: The call.
            start_s: Start of the load on the clock of the event loop, in
                seconds.
        """
        loop = get_running_loop()
        if self.in_flight >= MAX_IN_FLIGHT:
            return ObservedOutcome(
                call,
                0,
                0,
                detail=f'not sent: {MAX_IN_FLIGHT} calls are in flight',
            )
        self.in_flight += 1
        try:
            outcome = await self.exchange(call)
        except (ClientError, TimeoutError, OSError) as error:
            detail = f'{type(error).__name__}: {error}'
            outcome = ObservedOutcome(call, 0, 0, detail=detail)
        finally:
            self.in_flight -= 1
            if self.on_end is not None:
                self.on_end(call)
        latency_ms = (loop.time() - start_s - call.at_s) * 1000
        return outcome._replace(latency_ms=latency_ms)

    async def exchange(self, call: Call) -> ObservedOutcome:
        """Send the HTTP request of a call and check the response.

        Raises:
            ClientError: The exchange failed.
            TimeoutError: There was no whole response in time.
        """
        timeout_s = call.kind.answered_within_ms * 3 / 1000 + RESPONSE_GRACE_S
        async with self.session.request(
            call.kind.method,
            self.route(call) + call.path,
            headers=self.create_headers(call),
            data=call.request_id.encode() if call.booking else None,
            timeout=ClientTimeout(total=timeout_s),
        ) as response:
            body = await response.read()
            headers = {
                name.lower(): text for name, text in response.headers.items()
            }
            return check_response(call, response.status, headers, body)

    def create_headers(self, call: Call) -> dict[str, str]:
        """Return the headers that a caller without client library sends.

        The deadline is three times the latency objective of the call.
        """
        headers = {
            REQUEST_ID: call.request_id,
            DEADLINE_MS: str(call.kind.answered_within_ms * 3),
        }
        if call.kind.internal:
            headers[INTERNAL] = '1'
        if call.booking:
            key = self.keys_by_booking.setdefault(call.booking, str(uuid7()))
            headers[BOOKING_KEY] = key
            headers[BOOKING_ID] = call.booking
        return headers


def check_response(
    call: Call, status: int, headers: dict[str, str], body: bytes
) -> ObservedOutcome:
    """Return the outcome of a call from its response, without latency."""
    return ObservedOutcome(
        call,
        0,
        status,
        headers.get(VERDICT, ''),
        is_whole(headers, body),
        is_own(call, headers),
        headers.get(SERVER, ''),
    )


def is_whole(headers: dict[str, str], body: bytes) -> bool:
    """Return whether a body matches the length and digest headers."""
    length = headers.get('content-length')
    if length is not None and int(length) != len(body):
        return False
    digest = headers.get(CONTENT_DIGEST, '')
    reported = digest.removeprefix('sha-256=:').removesuffix(':')
    return not reported or b64decode(reported) == sha256(body).digest()


def is_own(call: Call, headers: dict[str, str]) -> bool:
    """Return whether a response belongs to a call.

    A repeat of a booking gets the response of the booking's first call,
    whether it arrived during or after the execution.
    """
    if headers.get(REQUEST_ID) not in {None, call.request_id}:
        return False
    reported = headers.get(OWN_REQUEST_ID, call.request_id)
    if call.booking:
        return first_request_id(reported) == first_request_id(call.request_id)
    return reported == call.request_id


def first_request_id(request_id: str) -> str:
    """Return the id of the first request of a repeated booking."""
    return request_id.partition('-again')[0]


def create_histogram(outcomes: list[ObservedOutcome]) -> Any:
    """Return a histogram of the latencies of answered calls, in us."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for outcome in outcomes:
        if outcome.answered:
            latency_us = int(outcome.latency_ms * 1000)
            histogram.record_value(min(max(1, latency_us), MAX_LATENCY_US))
    return histogram


def compute_in_time_share(outcomes: list[ObservedOutcome]) -> float:
    """Return the weighted share of calls answered in time.

    Internal calls are not counted; without calls the share is 1.
    """
    counted = [
        outcome for outcome in outcomes if not outcome.call.kind.internal
    ]
    total_weight = sum(outcome.call.kind.weight for outcome in counted)
    in_time_weight = sum(o.call.kind.weight for o in counted if o.in_time)
    return in_time_weight / total_weight if total_weight else 1
