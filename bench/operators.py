"""Operators of the fault matrix, who read and change targets."""

from asyncio import gather
from typing import Any, Final, NamedTuple
from uuid import uuid4

from aiohttp import ClientError, ClientTimeout

from bench.fleet import TOKENS_BY_OPERATOR, Fleet
from bench.hosts import Host
from bergamotshunt.peers.headers import VERDICT

RESPONSE_TIMEOUT_S: Final = 4
# Statuses of a change that is not in force: it conflicts with another one
# (409), or its revision is outdated (412) or missing (428).
REFUSAL_STATUSES: Final = (409, 412, 428)


class Submission(NamedTuple):
    """Response that an operator got to a submission.

    Attributes:
        status: HTTP status; 0 when there was no response.
        share: Measuring share that was submitted; unique, so that it
            identifies the change.
        verdict: Verdict in the response headers, or empty.
        host: Name of the daemon that it was submitted to.
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
        """Return whether the response says that it is not in force."""
        return self.verdict == 'not-run' or self.status in REFUSAL_STATUSES

    @property
    def unknown(self) -> bool:
        """Return whether the response leaves the outcome open."""
        return not self.accepted and not self.refused


def authorize(operator: str) -> dict[str, str]:
    """Return the headers that authenticate an operator."""
    return {'Authorization': f'Bearer {TOKENS_BY_OPERATOR[operator]}'}


async def read_targets(
    fleet: Fleet, host: Host
) -> tuple[str, dict[str, Any]] | None:
    """Return entity tag and targets at a daemon, or None on failure."""
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
    """Submit a change of the measuring share at a daemon.

    Args:
        fleet: The fleet.
        host: Host of the daemon.
        share: Measuring share to set, from 0 to 1.
        etag: Entity tag of the targets that the change is based on.
        document: These targets.
        operator: Name of the operator.
    """
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
    """The admin port of a daemon does not return the targets."""


def next_share(fleet: Fleet) -> float:
    """Return a measuring share that no earlier change used."""
    fleet.change_count += 1
    # For up to 10,000 changes the share does not exceed ``MEASURING_SHARE``,
    # which the budget check allows.
    return round(0.004 + fleet.change_count * 1e-7, 9)


async def submit_concurrently(
    fleet: Fleet, first_host: Host, second_host: Host
) -> list[Submission]:
    """Submit two concurrent changes of the same revision.

    Raises:
        AdminUnavailableError: The targets cannot be read at the first host.
    """
    current_targets = await read_targets(fleet, first_host)
    if current_targets is None:
        raise AdminUnavailableError(
            f'{first_host.name}: GET /v1/targets did not return the targets'
        )
    etag, document = current_targets
    submissions = await gather(
        submit(fleet, first_host, next_share(fleet), etag, document, 'ana'),
        submit(fleet, second_host, next_share(fleet), etag, document, 'bruno'),
    )
    fleet.submissions.extend(submissions)
    return list(submissions)
