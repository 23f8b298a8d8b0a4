"""Operators of the fault matrix: they read and change targets."""

from asyncio import gather
from typing import Any, Final, NamedTuple
from uuid import uuid4

from aiohttp import ClientError, ClientTimeout

from bench.fleet import OPERATORS, Fleet
from bench.hosts import Host
from bergamotshunt.peers.headers import VERDICT

RESPONSE_TIMEOUT_S: Final = 4
# Lost races and changes that are not allowed.
REFUSAL_STATUSES: Final = (409, 412, 428)


class Submission(NamedTuple):
    """What an operator heard.

    Attributes:
        status: HTTP status; 0 when there was no response.
        share: The measuring share that was asked for; unique, so that it
            identifies the change.
        verdict: Verdict told in the response, or empty.
        host: Daemon it was submitted to.
    """

    status: int
    share: float
    verdict: str
    host: str

    @property
    def accepted(self) -> bool:
        """Return whether the change was accepted."""
        return 200 <= self.status < 300

    @property
    def refused(self) -> bool:
        """Return whether the operator heard that it is not in force."""
        return self.verdict == 'not-run' or self.status in REFUSAL_STATUSES

    @property
    def unknown(self) -> bool:
        """Return whether the operator cannot know."""
        return not self.accepted and not self.refused


def authorize(operator: str) -> dict[str, str]:
    """Return the headers that identify an operator."""
    return {'Authorization': f'Bearer {OPERATORS[operator]}'}


async def read_targets(
    fleet: Fleet, host: Host
) -> tuple[str, dict[str, Any]] | None:
    """Read revision and targets at one daemon; None without a response."""
    url = f'{host.url("admin")}/v1/targets/{fleet.shape.main_service}'
    try:
        async with fleet.session.get(url, headers=authorize('ana')) as response:
            if response.status != 200:
                return None
            document = await response.json()
            document.pop('revision', None)
            return response.headers.get('ETag', ''), document
    except (ClientError, TimeoutError, OSError):
        return None


async def submit(
    fleet: Fleet,
    host: Host,
    share: float,
    etag: str,
    document: dict[str, Any],
    operator: str = 'ana',
) -> Submission:
    """Submit a change of the measuring share at one daemon."""
    url = f'{host.url("admin")}/v1/targets/{fleet.shape.main_service}'
    headers = {
        **authorize(operator),
        'If-Match': etag,
        'Idempotency-Key': uuid4().hex,
        'Bergamotshunt-Why': 'fault matrix',
    }
    try:
        async with fleet.session.put(
            url,
            json={**document, 'measuring_share': share},
            headers=headers,
            timeout=ClientTimeout(total=RESPONSE_TIMEOUT_S),
        ) as response:
            await response.read()
            verdict = response.headers.get(VERDICT, '')
            return Submission(response.status, share, verdict, host.name)
    except (ClientError, TimeoutError, OSError):
        return Submission(0, share, '', host.name)


class AdminUnavailableError(RuntimeError):
    """The daemon does not serve the targets yet."""


def next_share(fleet: Fleet) -> float:
    """Return a measuring share that no earlier change had."""
    fleet.changes += 1
    return round(0.004 + fleet.changes * 1e-7, 9)


async def submit_concurrently(
    fleet: Fleet, first: Host, second: Host
) -> list[Submission]:
    """Submit two changes of the same revision at once.

    Raises:
        AdminUnavailableError: The targets cannot be read.
    """
    before = await read_targets(fleet, first)
    if before is None:
        raise AdminUnavailableError('GET /v1/targets gives no targets')
    etag, document = before
    submissions = await gather(
        submit(fleet, first, next_share(fleet), etag, document, 'ana'),
        submit(fleet, second, next_share(fleet), etag, document, 'bruno'),
    )
    fleet.submissions.extend(submissions)
    return list(submissions)
