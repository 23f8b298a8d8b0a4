"""Explains one request from the log lines of all hosts."""

from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

from bergamotshunt.registries import Registry

MIN_SLOW_PACE: Final = 1.5
MAX_RESTART_DISTANCE_S: Final = 8.0


class LogLine(NamedTuple):
    """A log line.

    Attributes:
        at_s: Time of the line, seconds since the epoch.
        host: Where it was written; empty when the file does not say.
        event: Stable name of the event.
        fields: All its fields.
    """

    at_s: float
    host: str
    event: str
    fields: dict[str, Any]


Explanation = str | None
CauseFinder = Callable[[list[LogLine], list[LogLine]], Explanation]
CAUSE_FINDERS: Final[Registry[CauseFinder]] = Registry('cause')


def parse_line(text: str) -> LogLine | None:
    """Read a log line; a collector may have put a host before it."""
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
    """Return the lines of a request and of the calls it made, in order."""
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
    """Explain a request.

    Returns:
        Its lines in order, and one sentence that names the cause.
    """
    all_lines = list(lines)
    selected = select_lines(all_lines, request_id)
    if not selected:
        return [], (
            f'No line names {request_id}: it came to none of these hosts, or '
            'its line was dropped (see dropped_before of later lines).'
        )
    own_lines = [
        line for line in selected if line.fields['request_id'] == request_id
    ]
    for name in FINDER_ORDER:
        explanation = CAUSE_FINDERS.get(name)(own_lines or selected, all_lines)
        if explanation:
            return selected, explanation
    return selected, 'The lines name no failure.'


FINDER_ORDER: Final = (
    'turned-away',
    'refused-under-load',
    'connection-lost',
    'straggler',
    'no-server',
    'server-failed',
    'answered',
)


def _last_line(lines: list[LogLine], event: str) -> LogLine | None:
    matching = [line for line in lines if line.event == event]
    return matching[-1] if matching else None


def _failure_reason(lines: list[LogLine]) -> str:
    failed = _last_line(lines, 'carrier:failed')
    return str(failed.fields.get('reason', '')) if failed else ''


@CAUSE_FINDERS.register('turned-away')
def find_rejection(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Find a request that never went to a server."""
    line = _last_line(lines, 'outbound:turned-away')
    if line is None:
        return None
    return (
        f'Turned away on arrival: {line.fields["reason"]} '
        f'(configuration version {line.fields["version"]}).'
    )


@CAUSE_FINDERS.register('refused-under-load')
def find_load_shedding(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Find a refusal because no server had a slot in time."""
    reason = _failure_reason(lines)
    refusals = [line for line in lines if line.event == 'inbound:refused']
    if not reason.startswith(('no-slot', 'wait-too', 'expired', 'displaced')):
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
    """Find a connection that ended before the response."""
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
        'The connection to the server or its daemon ended before the answer; '
        'it may have run'
        f' ({reason or "answer cut"}; {restart_list or "no restart nearby"}).'
    )


@CAUSE_FINDERS.register('straggler')
def find_slow_server(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Find a timeout behind a slow server."""
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
    when = 'slow when it was chosen' if slow else 'slow afterwards'
    return (
        f'Timed out behind a server that was {when}; it may have run '
        f'({detail}).'
    )


@CAUSE_FINDERS.register('no-server')
def find_missing_server(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Find a request for which no server was left."""
    reason = _failure_reason(lines)
    return f'Not run, no server was usable: {reason}.' if reason else None


@CAUSE_FINDERS.register('server-failed')
def find_server_failure(
    lines: list[LogLine], all_lines: list[LogLine]
) -> Explanation:
    """Find a failure that the server itself answered."""
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
    call_list = ', '.join(
        f'{call.fields["service"]}: {call.fields["reason"]}'
        for call in failed_calls
    )
    cause = f'its call failed ({call_list})' if call_list else 'by itself'
    return f'The server ran it and answered {line.fields["status"]}, {cause}.'


@CAUSE_FINDERS.register('answered')
def find_response(
    lines: list[LogLine], _all_lines: list[LogLine]
) -> Explanation:
    """Find a response, and where its time went."""
    line = _last_line(lines, 'carrier:answered')
    if line is None:
        return None
    return (
        f'Answered {line.fields["status"]} after {line.fields["took_ms"]} ms, '
        f'of which {line.fields["server_ms"]} ms at the server, '
        f'{len(line.fields["choices"])} attempt(s).'
    )
