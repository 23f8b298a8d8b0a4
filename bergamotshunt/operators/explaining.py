"""Explains one request from the log lines of all hosts."""

from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode

from bergamotshunt.registries import Registry

SLOW_PACE: Final = 1.5
NEAR_S: Final = 8.0


class Line(NamedTuple):
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


Finding = str | None
Cause = Callable[[list[Line], list[Line]], Finding]
CAUSES: Final[Registry[Cause]] = Registry('cause')


def read_line(text: str) -> Line | None:
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
    words = prefix.split()
    return Line(
        at_s=float(fields.get('timestamp', 0)),
        host=words[-1] if words else '',
        event=str(fields['message_type']),
        fields=fields,
    )


def select_lines(lines: Iterable[Line], request_id: str) -> list[Line]:
    """Return the lines of a request and of the calls it made, in order."""
    return sorted(
        line
        for line in lines
        if _is_of(str(line.fields.get('request_id', '')), request_id)
    )


def _is_of(found_id: str, request_id: str) -> bool:
    return found_id == request_id or found_id.startswith(f'{request_id}.')


def explain(lines: Iterable[Line], request_id: str) -> tuple[list[Line], str]:
    """Explain a request.

    Returns:
        Its lines in order, and one sentence that names the cause.
    """
    known = list(lines)
    selected = select_lines(known, request_id)
    if not selected:
        return [], (
            f'No line names {request_id}: it came to none of these hosts, or '
            'its line was dropped (see dropped_before of later lines).'
        )
    own = [line for line in selected if line.fields['request_id'] == request_id]
    for name in ORDER:
        finding = CAUSES.get(name)(own or selected, known)
        if finding:
            return selected, finding
    return selected, 'The lines name no failure.'


ORDER: Final = (
    'turned-away',
    'refused-under-load',
    'connection-lost',
    'straggler',
    'no-server',
    'server-failed',
    'answered',
)


def _last(lines: list[Line], event: str) -> Line | None:
    found = [line for line in lines if line.event == event]
    return found[-1] if found else None


def _reason(lines: list[Line]) -> str:
    failed = _last(lines, 'carrier:failed')
    return str(failed.fields.get('reason', '')) if failed else ''


@CAUSES.register('turned-away')
def find_turned_away(lines: list[Line], _known: list[Line]) -> Finding:
    """Find a request that never went to a server."""
    line = _last(lines, 'outbound:turned-away')
    if line is None:
        return None
    return (
        f'Turned away on arrival: {line.fields["reason"]} '
        f'(configuration version {line.fields["version"]}).'
    )


@CAUSES.register('refused-under-load')
def find_refused(lines: list[Line], _known: list[Line]) -> Finding:
    """Find a refusal because no server had a slot in time."""
    reason = _reason(lines)
    refusals = [line for line in lines if line.event == 'inbound:refused']
    if not reason.startswith(('no-slot', 'wait-too', 'expired', 'displaced')):
        return None
    seen = [
        f'{line.host or "a daemon"} had {line.fields["running"]} of '
        f'{line.fields["limit"]} slots taken and {line.fields["waiting"]} '
        'waiting'
        for line in refusals
    ]
    detail = '; '.join([reason, *seen])
    return (
        'Refused under load, not run: no server could start it in time '
        f'({detail}).'
    )


@CAUSES.register('connection-lost')
def find_lost(lines: list[Line], known: list[Line]) -> Finding:
    """Find a connection that ended before the response."""
    reason = _reason(lines)
    cut = _last(lines, 'carrier:answer-cut')
    if not reason.startswith('answer-lost') and cut is None:
        return None
    failed = cut or _last(lines, 'carrier:failed') or lines[-1]
    near = [
        line
        for line in known
        if line.event in {'daemon:started', 'daemon:stop-asked'}
        and abs(line.at_s - failed.at_s) < NEAR_S
    ]
    around = ', '.join(
        f'{line.event} of {line.fields.get("daemon", "?")} '
        f'{line.at_s - failed.at_s:+.1f} s'
        for line in near
    )
    return (
        'The connection to the server or its daemon ended before the answer; '
        'it may have run'
        f' ({reason or "answer cut"}; {around or "no restart nearby"}).'
    )


@CAUSES.register('straggler')
def find_straggler(lines: list[Line], _known: list[Line]) -> Finding:
    """Find a timeout behind a slow server."""
    if _reason(lines) != 'timeout':
        return None
    failed = _last(lines, 'carrier:failed') or lines[-1]
    choices = failed.fields.get('choices') or [{}]
    paces = [choice.get('pace', 1) for choice in choices]
    slow = max(paces) > SLOW_PACE
    detail = ', '.join(
        f'{choice.get("instance")} at pace {choice.get("pace")}, '
        f'expected {choice.get("expected_ms")} ms'
        for choice in choices
    )
    known = 'slow when it was chosen' if slow else 'slow afterwards'
    return (
        f'Timed out behind a server that was {known}; it may have run '
        f'({detail}).'
    )


@CAUSES.register('no-server')
def find_no_server(lines: list[Line], _known: list[Line]) -> Finding:
    """Find a request for which no server was left."""
    reason = _reason(lines)
    return f'Not run, no server was usable: {reason}.' if reason else None


@CAUSES.register('server-failed')
def find_server_failure(lines: list[Line], known: list[Line]) -> Finding:
    """Find a failure that the server itself answered."""
    line = _last(lines, 'carrier:answered')
    if line is None or line.fields['status'] < 500:
        return None
    request_id = line.fields['request_id']
    calls = [
        call
        for call in known
        if call.event == 'carrier:failed'
        and str(call.fields['request_id']).startswith(f'{request_id}.')
    ]
    called = ', '.join(
        f'{call.fields["service"]}: {call.fields["reason"]}' for call in calls
    )
    cause = f'its call failed ({called})' if called else 'by itself'
    return f'The server ran it and answered {line.fields["status"]}, {cause}.'


@CAUSES.register('answered')
def find_response(lines: list[Line], _known: list[Line]) -> Finding:
    """Find a response, and where its time went."""
    line = _last(lines, 'carrier:answered')
    if line is None:
        return None
    return (
        f'Answered {line.fields["status"]} after {line.fields["took_ms"]} ms, '
        f'of which {line.fields["server_ms"]} ms at the server, '
        f'{len(line.fields["choices"])} attempt(s).'
    )
