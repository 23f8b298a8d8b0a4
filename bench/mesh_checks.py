"""Checks of a soak, over what clients, servers and the platform observed."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Final, NamedTuple

from bench.mesh_records import (
    DRAIN_MS,
    GRACE_S,
    History,
    Outcome,
    RequestRecord,
)
from bergamotshunt.registries import Registry

# Limit of the clients and of all routes.
REQUEST_LIMIT_S: Final = 3.0
# A request that took this share of its limit has run out of time.
LATE_SHARE: Final = 0.9
# Platform: planned work lasts from SIGTERM until 1 s after the grace period.
AFTER_GRACE_S: Final = 1.0
# Requests that still run in the last sixth of the grace period may be cut.
CUT_ALLOWED_S: Final = GRACE_S * 5 / 6
# A running daemon reads what was sent this long ago, also on a busy machine.
READ_WITHIN_S: Final = 1.0
# Requests that were sent to a server before the acknowledgement arrive
# within this time.
IN_FLIGHT_S: Final = 0.25
# The soak itself notices the end of a process this late at the most.
NOTICE_S: Final = 0.5
ROLLBACK_SLACK_S: Final = 0.25
REFUSALS: Final = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    )
)
REPLACED: Final = frozenset(
    (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)
)
CUT: Final = frozenset((Outcome.TRUNCATED, Outcome.CLOSED, Outcome.NOT_READ))


class Violation(NamedTuple):
    """A broken rule.

    Attributes:
        check: Name of the check.
        at_s: Monotonic time in seconds.
        host: Name of the host; empty if unknown.
        request_id: Id of the request; empty for none.
        text: What was seen and what was expected.
    """

    check: str
    at_s: float
    host: str
    request_id: str
    text: str


Finding = tuple[RequestRecord, str]
Check = Callable[[History], Iterator[Violation]]
CHECKS: Final[Registry[Check]] = Registry('check')


def find_violations(history: History) -> list[Violation]:
    """Return the violations of all checks in the order of their times."""
    violations = [
        violation
        for name in CHECKS.names()
        for violation in CHECKS.get(name)(history)
    ]
    return sorted(violations, key=lambda violation: violation.at_s)


def _violation(check: str, record: RequestRecord, text: str) -> Violation:
    return Violation(
        check, record.ended_s, record.host, record.request.request_id, text
    )


@CHECKS.register('LOST')
def check_lost(history: History) -> Iterator[Violation]:
    """Check that a stopping daemon completes the requests it has read."""
    runs_by_id = history.runs_by_request_id()
    for record in history.requests:
        if not _is_cut(record):
            continue
        took_s = record.ended_s - record.sent_s
        is_passed_on = record.request.request_id in runs_by_id
        is_read = record.outcome is Outcome.CLOSED and took_s > READ_WITHIN_S
        if not (is_passed_on or is_read):
            continue
        if took_s > REQUEST_LIMIT_S * LATE_SHARE:
            continue
        stopped_s = _planned_stop_s(history, record)
        if stopped_s and history.is_calm(record.sent_s, record.ended_s):
            yield _violation(
                'LOST',
                record,
                f'{record.request.kind} request with status {record.status}: '
                f'{record.outcome.value} after {took_s:.3f} s and '
                f'{record.received_bytes} of {record.request.size} bytes, '
                f'{record.ended_s - stopped_s:.3f} s after SIGTERM; '
                f'runs: {len(runs_by_id.get(record.request.request_id, ()))}',
            )


def _is_cut(record: RequestRecord) -> bool:
    if record.outcome in CUT:
        return True
    return record.outcome is Outcome.COMPLETE and record.status in REPLACED


def _planned_stop_s(history: History, record: RequestRecord) -> float:
    """Return the time of the SIGTERM that has to spare a request, or 0.

    The next process on the host is bound as well.
    """
    for stop in reversed(history.stops):
        if stop.host != record.host:
            continue
        is_same = stop.lifetime == record.lifetime
        lasts_s = CUT_ALLOWED_S if is_same else GRACE_S + AFTER_GRACE_S
        if stop.at_s < record.ended_s < stop.at_s + lasts_s:
            return stop.at_s
    return 0


@CHECKS.register('SILENT')
def check_silent(history: History) -> Iterator[Violation]:
    """Check that a request is answered, if only with a refusal."""
    for record in history.requests:
        is_overdue = record.outcome is Outcome.OVERDUE and not record.status
        if is_overdue and history.is_calm(record.sent_s, record.ended_s):
            yield _violation(
                'SILENT',
                record,
                f'{record.request.kind} request without a response for '
                f'{record.ended_s - record.sent_s:.3f} s, '
                f'limit {REQUEST_LIMIT_S} s',
            )


@CHECKS.register('WHOLE')
def check_whole(history: History) -> Iterator[Violation]:
    """Check that responses that look complete are the server's."""
    for record in history.requests:
        if record.mismatch:
            yield _violation('WHOLE', record, record.mismatch)


@CHECKS.register('NOT RUN')
def check_not_run(history: History) -> Iterator[Violation]:
    """Check that refused requests have not run and never do."""
    runs_by_id = history.runs_by_request_id()
    for record in history.requests:
        runs = runs_by_id.get(record.request.request_id, ())
        if runs and record.status in REFUSALS:
            offsets = [f'{run.at_s - record.ended_s:+.3f} s' for run in runs]
            yield _violation(
                'NOT RUN',
                record,
                f'{record.request.kind} request refused with status '
                f'{record.status}, but ran {", ".join(offsets)} after that',
            )


@CHECKS.register('TWICE')
def check_twice(history: History) -> Iterator[Violation]:
    """Check that unsafe requests run at most once."""
    runs_by_id = history.runs_by_request_id()
    for record in history.requests:
        runs = runs_by_id.get(record.request.request_id, ())
        if record.request.kind == 'unsafe' and len(runs) > 1:
            yield _violation('TWICE', record, f'{len(runs)} runs: {runs}')


@CHECKS.register('DRAIN')
def check_drain(history: History) -> Iterator[Violation]:
    """Check that a server that is acknowledged as leaving gets no request."""
    acknowledged_s = {
        (leaving.instance, leaving.born_ms): leaving.at_s
        for leaving in reversed(history.leavings)
    }
    for run in history.runs:
        since_s = acknowledged_s.get((run.instance, run.born_ms))
        if since_s is not None and run.at_s > since_s + IN_FLIGHT_S:
            yield Violation(
                'DRAIN',
                run.at_s,
                '',
                run.request_id,
                f'reached {run.instance} {run.at_s - since_s:.3f} s after '
                f'its acknowledgement (drain_ms {DRAIN_MS})',
            )


@CHECKS.register('EXIT')
def check_exits(history: History) -> Iterator[Violation]:
    """Check that daemons end with code 0 in time, and only when told to."""
    for ended in history.exits:
        if ended.killed:
            continue
        took_s = ended.at_s - ended.stopped_s - ended.frozen_s
        text = ''
        if not ended.stopped_s:
            text = f'ended by itself with exit code {ended.code}'
        elif ended.code:
            text = f'exit code {ended.code} {took_s:.3f} s after SIGTERM'
        elif took_s > GRACE_S + NOTICE_S:
            text = f'ended {took_s:.3f} s after SIGTERM, grace_s {GRACE_S}'
        if text:
            yield Violation('EXIT', ended.at_s, ended.host, '', text)


@CHECKS.register('CONFIG')
def check_configuration(history: History) -> Iterator[Violation]:
    """Check that no process returns to an older configuration.

    Each version adds a route that all later versions keep.
    """
    known_by_process: dict[tuple[str, int], tuple[float, int]] = {}
    for record in sorted(history.requests, key=lambda seen: seen.ended_s):
        is_unknown = record.status == HTTPStatus.NOT_FOUND
        if record.request.kind != 'version':
            if is_unknown:
                yield _violation('CONFIG', record, 'no route for a known path')
            continue
        version = int(record.request.path.split('/')[1].rpartition('-')[2])
        process = (record.host, record.lifetime)
        since_s, known = known_by_process.get(process, (0.0, 0))
        if record.status == HTTPStatus.OK and version > known:
            known_by_process[process] = (record.ended_s, version)
        is_later = record.sent_s > since_s + ROLLBACK_SLACK_S
        if is_unknown and version <= known and is_later:
            yield _violation(
                'CONFIG', record, f'no route of {version} after {known}'
            )
