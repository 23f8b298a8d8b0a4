"""Explains the outcome of a request from the log lines of mesh daemons.

Each function in ``CAUSE_FINDERS`` recognises one cause. It takes the log lines
of the request and the log lines of all requests, and returns a sentence, or
None when it does not recognise its cause.
"""

from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

from bergamotshunt.decisions.slot_refusals import (
    EXPIRED_PERMIT_REASON,
    SLOT_REFUSAL_REASONS,
)
from bergamotshunt.registries import Registry

# Pace (slowdown factor) above which a server counts as slow; 1 is the
# baseline.
MIN_SLOW_PACE: Final = 1.5
# Restarts of daemons this close to a lost connection are listed with it.
MAX_RESTART_DISTANCE_S: Final = 8.0


class LogLine(NamedTuple):
    """A parsed log line.

    Attributes:
        at_s: Timestamp, seconds since the epoch.
        host: Host that wrote it; empty when the line has no prefix.
        event: Name of the event (``message_type``).
        fields: All fields, the timestamp and the event included.
    """

    at_s: float
    host: str
    event: str
    fields: dict[str, Any]


Explanation = str | None
CauseFinder = Callable[[list[LogLine], list[LogLine]], Explanation]
CAUSE_FINDERS: Final[Registry[CauseFinder]] = Registry('cause')


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; a log collector may have prefixed it with a host.

    Returns:
        The line, or None when it is not an event of a daemon.
    """
    prefix, brace, rest = text.partition('{')
    if not brace:
        return None
    try:
        fields = decode(brace + rest)
    except DecodeError:
        return None
    if not isinstance(fields, dict) or 'message_type' not in fields:
        return None
    prefix_words = prefix.split()
    return LogLine(
        at_s=float(fields.get('timestamp', 0)),
        host=prefix_words[-1] if prefix_words else '',
        event=str(fields['message_type']),
        fields=fields,
    )


def select_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request and its nested calls, by time.

    The id of a nested call is the id of its parent, a dot and a suffix.
    """
    return sorted(
        line
        for line in lines
        if _belongs_to(str(line.fields.get('request_id', '')), request_id)
    )


def _belongs_to(found_id: str, request_id: str) -> bool:
    return found_id == request_id or found_id.startswith(f'{request_id}.')


def explain(
    lines: Iterable[LogLine], request_id: str
) -> tuple[list[LogLine], str]:
    """Explain the outcome of a request.

    Returns:
        The lines of the request by time, and a sentence with the cause.
    """
    all_lines = list(lines)
    selected = select_lines(all_lines, request_id)
    if not selected:
        return [], (
            f'No log line has the request id {request_id}: the request did '
            'not reach these hosts, or its line was dropped (see '
            'dropped_before of later lines).'
        )
    own_lines = [
        line for line in selected if line.fields['request_id'] == request_id
    ]
    for name in FINDER_ORDER:
        explanation = CAUSE_FINDERS.get(name)(own_lines or selected, all_lines)
        if explanation:
            return selected, explanation
    return selected, 'The log lines show no failure.'


# The first finder with an explanation wins, so that specific causes come
# before general ones.
FINDER_ORDER: Final = (
    'turned-away',
    'key-refused',
    'quota-refused',
    'refused-under-load',
    'connection-lost',
    'straggler',
    'no-server',
    'server-failed',
    'answered',
)


def _last_line(lines: list[LogLine], event: str) -> LogLine | None:
    event_lines = [line for line in lines if line.event == event]
    return event_lines[-1] if event_lines else None


def _failure_reason(lines: list[LogLine]) -> str:
    failed = _last_line(lines, 'carrier:failed')
    return str(failed.fields.get('reason', '')) if failed else ''


@CAUSE_FINDERS.register('turned-away')
def find_rejection(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Explain a request that was rejected before a server was chosen."""
    line = _last_line(lines, 'outbound:turned-away')
    if line is None:
        return None
    return (
        f'Rejected on arrival: {line.fields["reason"]} '
        f'(configuration version {line.fields["version"]}).'
    )


@CAUSE_FINDERS.register('key-refused')
def find_key_refusal(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Explain a request that was refused for its API key."""
    if _failure_reason(lines) == EXPIRED_PERMIT_REASON:
        return (
            'Not run: the admission of its API key ended before a server '
            'could start it.'
        )
    line = _last_line(lines, 'outbound:key-refused')
    if line is None:
        return None
    age_s = line.fields['confirmation_age_s']
    confirmed = (
        'never confirmed' if age_s is None else f'confirmed {age_s} s before'
    )
    return (
        f'Refused for its API key with status {line.fields["status"]}, not '
        f'run: {line.fields["reason"]} (route {line.fields["route"]}, '
        f'configuration version {line.fields["version"]}, {confirmed}).'
    )


@CAUSE_FINDERS.register('quota-refused')
def find_quota_refusal(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Explain a request that was refused for the quota of its account."""
    line = _last_line(lines, 'outbound:quota-refused')
    if line is None:
        return None
    cause = (
        'is over its quota'
        if line.fields['over_quota']
        else 'has a quota of which no owner answered in time'
    )
    return (
        f'Not run: the account {line.fields["account"]} {cause}; '
        f'retry after {line.fields["retry_after_ms"]} ms.'
    )


SHED_REASONS: Final = (
    'no-slot',
    *sorted(SLOT_REFUSAL_REASONS - {EXPIRED_PERMIT_REASON}),
)


@CAUSE_FINDERS.register('refused-under-load')
def find_load_shedding(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Explain a request that was shed because no slot was free in time."""
    reason = _failure_reason(lines)
    refusals = [line for line in lines if line.event == 'inbound:refused']
    if not reason.startswith(SHED_REASONS):
        return None
    server_loads = [
        f'{line.host or "a daemon"} had {line.fields["running"]} of '
        f'{line.fields["limit"]} slots taken and {line.fields["waiting"]} '
        'waiting'
        for line in refusals
    ]
    detail = '; '.join([reason, *server_loads])
    return (
        'Refused under load, not run: no server could start it in time '
        f'({detail}).'
    )


@CAUSE_FINDERS.register('connection-lost')
def find_lost_connection(
    lines: list[LogLine], all_lines: list[LogLine]
) -> Explanation:
    """Explain a connection that was closed before the response ended."""
    reason = _failure_reason(lines)
    cut_line = _last_line(lines, 'carrier:answer-cut')
    if not reason.startswith('answer-lost') and cut_line is None:
        return None
    failed = cut_line or _last_line(lines, 'carrier:failed') or lines[-1]
    restarts = [
        line
        for line in all_lines
        if line.event in {'daemon:started', 'daemon:stop-asked'}
        and abs(line.at_s - failed.at_s) < MAX_RESTART_DISTANCE_S
    ]
    restart_list = ', '.join(
        f'{line.event} of {line.fields.get("daemon", "?")} '
        f'{line.at_s - failed.at_s:+.1f} s'
        for line in restarts
    )
    return (
        'The connection to the server or its daemon was closed before the '
        'response ended; the request may have run'
        f' ({reason or "response truncated"}; '
        f'{restart_list or "no restart nearby"}).'
    )


@CAUSE_FINDERS.register('straggler')
def find_slow_server(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Explain a timeout while a server worked on the request.

    The log line of the failure holds the pace (slowdown factor) of each
    chosen server at the time of the choice.
    """
    if _failure_reason(lines) != 'timeout':
        return None
    failed = _last_line(lines, 'carrier:failed') or lines[-1]
    choices = failed.fields.get('choices') or [{}]
    paces = [choice.get('pace', 1) for choice in choices]
    slow = max(paces) > MIN_SLOW_PACE
    detail = ', '.join(
        f'{choice.get("instance")} at pace {choice.get("pace")}, '
        f'expected {choice.get("expected_ms")} ms'
        for choice in choices
    )
    when = 'already slow when chosen' if slow else 'slow only afterwards'
    return (
        f'Timed out behind a server that was {when}; the request '
        'may have run '
        f'({detail}).'
    )


@CAUSE_FINDERS.register('no-server')
def find_missing_server(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Explain a request that failed for lack of a usable server."""
    reason = _failure_reason(lines)
    return f'Not run, no usable server: {reason}.' if reason else None


@CAUSE_FINDERS.register('server-failed')
def find_server_failure(
    lines: list[LogLine], all_lines: list[LogLine]
) -> Explanation:
    """Explain an error response of the server, with failed nested calls."""
    line = _last_line(lines, 'carrier:answered')
    if line is None or line.fields['status'] < 500:
        return None
    request_id = line.fields['request_id']
    failed_calls = [
        call
        for call in all_lines
        if call.event == 'carrier:failed'
        and str(call.fields['request_id']).startswith(f'{request_id}.')
    ]
    failed_call_list = ', '.join(
        f'{call.fields["service"]}: {call.fields["reason"]}'
        for call in failed_calls
    )
    cause = (
        f'because its nested call failed ({failed_call_list})'
        if failed_call_list
        else 'without a failed nested call'
    )
    return f'The server ran it and answered {line.fields["status"]} {cause}.'


@CAUSE_FINDERS.register('answered')
def find_response(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Describe a response and the time that it took."""
    line = _last_line(lines, 'carrier:answered')
    if line is None:
        return None
    return (
        f'Answered {line.fields["status"]} after {line.fields["took_ms"]} ms, '
        f'of which {line.fields["server_ms"]} ms at the server, '
        f'{len(line.fields["choices"])} attempt(s).'
    )
