"""Request heads of callers: validation, target and forwarded headers."""

from collections import Counter
from collections.abc import Mapping
from http import HTTPStatus
from random import Random
from re import ASCII, DOTALL, sub
from re import compile as compile_pattern
from typing import Any, Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import CallHead, HeaderItems
from bergamotshunt.decisions.deadlines import MAX_DIGITS, parse_timeout_ms
from bergamotshunt.decisions.target_matching import match_target
from bergamotshunt.operators.targets import ServiceTargets, Target
from bergamotshunt.peers.headers import (
    BOOKING_KEY,
    CONTENT_LENGTH,
    DEADLINE_MS,
    DEPTH,
    HOP_BY_HOP_HEADERS,
    INTERNAL,
    REQUEST_ID,
)
from bergamotshunt.settings import CallsSettings
from bergamotshunt.verdicts import CallFailure, create_refusal

REQUEST_ID_BITS: Final = 128
# Call trees are up to 7 calls deep; a depth above the limit means that
# services call each other in a loop.
MAX_DEPTH: Final = 32
OWN_PREFIX: Final = b'bergamotshunt-'
EVALUATED_HEADERS: Final = frozenset(
    name.encode()
    for name in (
        REQUEST_ID,
        DEADLINE_MS,
        DEPTH,
        INTERNAL,
        BOOKING_KEY,
        CONTENT_LENGTH,
        'connection',
    )
)
DROPPED_HEADERS: Final = frozenset(
    name.encode() for name in (*HOP_BY_HOP_HEADERS, CONTENT_LENGTH, 'expect')
)
# Values of the Connection header that name no further header to drop.
PLAIN_CONNECTION_VALUES: Final = frozenset((b'', b'close', b'keep-alive'))
_REQUEST_ID = compile_pattern('[A-Za-z0-9._:-]{1,128}', ASCII)
# Pattern of each header value, and its description in error messages.
PARAMETER_RULES: Final = {
    DEPTH.encode(): (compile_pattern('[0-9]{1,4}'), 'a number from 0 to 9999'),
    INTERNAL.encode(): (compile_pattern('[01]'), '0 or 1'),
    BOOKING_KEY.encode(): (
        compile_pattern('[!-~]{1,255}'),
        '1 to 255 visible characters',
    ),
}
ANY_TEXT: Final = (compile_pattern('.*', DOTALL), 'text')
_BAD_ESCAPE = compile_pattern('%(?![0-9A-Fa-f]{2})')
_DOT_SEGMENT = compile_pattern(r'(?:^|/)\.{1,2}(?:/|$)')


class RequestHeaders(NamedTuple):
    """Headers of a caller's request.

    Attributes:
        forwarded: Headers to forward to the backend server, names in lower
            case.
        evaluated: Headers that the ingress evaluates itself, by name.
    """

    forwarded: HeaderItems
    evaluated: Mapping[bytes, bytes]


class RequestPath(NamedTuple):
    """Path of a request.

    Attributes:
        service: First path segment.
        encoded: Remaining path as received, with the query string.
        normalized: Remaining path, decoded and normalized, which is matched
            against the targets.
    """

    service: str
    encoded: str
    normalized: str


class CallParameters(NamedTuple):
    """Parameters of a call that its caller states in headers.

    Attributes:
        timeout_ms: Time until the deadline in milliseconds.
        depth: Number of ancestors of this call in its call tree.
        internal: Whether the call is an internal check.
        booking_key: Idempotency key, or empty.
    """

    timeout_ms: int
    depth: int
    internal: bool
    booking_key: str


def measure_head(scope: Any) -> int:
    """Return the size in bytes of the path, the query and all headers."""
    size = len(scope['raw_path']) + len(scope['query_string'])
    return size + sum(len(name) + len(text) for name, text in scope['headers'])


def read_headers(scope: Any) -> Result[RequestHeaders, CallFailure]:
    """Separate the headers to forward from those that the ingress evaluates.

    Headers with the prefix ``bergamotshunt-`` are never forwarded: a caller
    could otherwise state a booking owner or another target.
    """
    evaluated = {
        name: text
        for name, text in scope['headers']
        if name in EVALUATED_HEADERS
    }
    count = sum(name in EVALUATED_HEADERS for name, _ in scope['headers'])
    if count > len(evaluated):
        counts = Counter(name for name, _ in scope['headers'])
        repeated = ', '.join(
            name.decode() for name in evaluated if counts[name] > 1
        )
        return refuse_malformed(
            f'headers that may occur only once were repeated: {repeated}'
        )
    try:
        forwarded = tuple(
            (name.decode(), text.decode())
            for name, text in scope['headers']
            if name not in DROPPED_HEADERS and not name.startswith(OWN_PREFIX)
        )
    except UnicodeDecodeError as error:
        return refuse_malformed(f'a header is not UTF-8: {error}')
    connection_values = evaluated.get(b'connection', b'').lower()
    if connection_values not in PLAIN_CONNECTION_VALUES:
        connection_headers = {
            part.strip()
            for part in connection_values.decode('latin-1').split(',')
        }
        forwarded = tuple(
            pair for pair in forwarded if pair[0] not in connection_headers
        )
    return Success(RequestHeaders(forwarded, evaluated))


def read_request_id(
    headers: Mapping[bytes, bytes], rng: Random
) -> Result[str, CallFailure]:
    """Return the request id that the caller sent, or a new random one."""
    given = headers.get(REQUEST_ID.encode())
    if given is None:
        return Success(f'{rng.getrandbits(REQUEST_ID_BITS):032x}')
    text = given.decode('latin-1')
    if _REQUEST_ID.fullmatch(text) is None:
        return refuse_malformed(
            f'the header {REQUEST_ID} must be 1 to 128 letters, digits or '
            f'._:-; its value has {len(text)} characters'
        )
    return Success(text)


def read_path(scope: Any) -> Result[RequestPath, CallFailure]:
    """Split the path of a request into service and path below it."""
    raw = scope['raw_path'].decode('latin-1')
    service, _, rest = raw.removeprefix('/').partition('/')
    if '%' in service:
        return refuse_malformed(
            f'the service name {service!r} has a percent-escape'
        )
    decoded = scope['path'].removeprefix('/').partition('/')[2]
    normalized = normalize_path(f'/{rest}', f'/{decoded}')
    if isinstance(normalized, Failure):
        return Failure(normalized.failure())
    query = scope['query_string'].decode('latin-1')
    return Success(
        RequestPath(
            service,
            f'/{rest}?{query}' if query else f'/{rest}',
            normalized.unwrap(),
        )
    )


def normalize_path(encoded: str, decoded: str) -> Result[str, CallFailure]:
    """Return the path that is matched against the targets.

    Backend servers decode escapes and merge slashes before they route a
    request. Matching the path as received would let a booking match an
    idempotent target.

    Args:
        encoded: Path below the service as received.
        decoded: The same path with its escapes decoded.
    """
    normalized = encoded
    if '%' in encoded:
        if _BAD_ESCAPE.search(encoded):
            return refuse_malformed(
                f'the path {encoded!r} has a malformed percent-escape'
            )
        normalized = decoded
    if '.' in normalized and _DOT_SEGMENT.search(normalized):
        return refuse_malformed(
            f'the path {encoded!r} has a segment "." or ".."'
        )
    if '//' in normalized:
        normalized = sub('/{2,}', '/', normalized)
    return Success(normalized)


def find_target(
    by_service: Mapping[str, ServiceTargets], method: str, path: RequestPath
) -> Result[Target, CallFailure]:
    """Return the operators' target that matches a request."""
    service = by_service.get(path.service)
    if service is None:
        return Failure(
            create_refusal(
                'unknown-service',
                f'no targets are set for the service {path.service!r}',
                HTTPStatus.NOT_FOUND,
            ),
        )
    target = match_target(service, method, path.normalized)
    if target is None:
        return Failure(
            create_refusal(
                'no-target',
                f'no target of service {path.service} matches '
                f'{method} {path.normalized}',
                HTTPStatus.NOT_FOUND,
            ),
        )
    return Success(target)


def read_head(
    scope: Any,
    headers: RequestHeaders,
    request_id: str,
    by_service: Mapping[str, ServiceTargets],
    settings: CallsSettings,
    now_ms: float,
) -> Result[CallHead, CallFailure]:
    """Validate the head of a request and match it to a target.

    Args:
        scope: ASGI scope of the request.
        headers: Its headers.
        request_id: Its id.
        by_service: Targets of each service.
        settings: Limits and defaults of calls.
        now_ms: Monotonic time in milliseconds.
    """
    path = read_path(scope)
    if isinstance(path, Failure):
        return Failure(path.failure())
    target = find_target(by_service, scope['method'], path.unwrap())
    if isinstance(target, Failure):
        return Failure(target.failure())
    parameters = read_parameters(headers.evaluated, settings)
    if isinstance(parameters, Failure):
        return Failure(parameters.failure())
    matched = target.unwrap()
    request_path = path.unwrap()
    timeout_ms, depth, internal, booking_key = parameters.unwrap()
    return Success(
        CallHead(
            request_path.service,
            scope['method'],
            request_path.encoded,
            headers.forwarded,
            request_id,
            now_ms + timeout_ms,
            matched,
            depth,
            internal or matched.internal,
            booking_key,
        ),
    )


def read_parameters(
    evaluated: Mapping[bytes, bytes], settings: CallsSettings
) -> Result[CallParameters, CallFailure]:
    """Read deadline, depth, internal flag and booking key of a request."""
    parameters: dict[str, str] = {}
    for name, text in evaluated.items():
        pattern, allowed = PARAMETER_RULES.get(name, ANY_TEXT)
        parameter = text.decode('latin-1')
        if pattern.fullmatch(parameter) is None:
            return refuse_malformed(
                f'the header {name.decode()} must be {allowed}; its value '
                f'has {len(parameter)} characters'
            )
        parameters[name.decode()] = parameter
    timeout_ms = parse_timeout_ms(
        parameters.get(DEADLINE_MS),
        settings.default_deadline_ms,
        settings.max_deadline_ms,
    )
    if timeout_ms is None:
        return refuse_malformed(
            f'the header {DEADLINE_MS} must be a number of milliseconds with '
            f'1 to {MAX_DIGITS} digits, not {parameters.get(DEADLINE_MS)!r}'
        )
    depth = int(parameters.get(DEPTH, '0'))
    if depth > MAX_DEPTH:
        return Failure(
            create_refusal(
                'too-deep',
                f'the depth of the call is {depth}; the limit is {MAX_DEPTH}',
                HTTPStatus.LOOP_DETECTED,
            ),
        )
    return Success(
        CallParameters(
            timeout_ms,
            depth,
            parameters.get(INTERNAL) == '1',
            parameters.get(BOOKING_KEY, ''),
        ),
    )


def refuse_malformed(detail: str) -> Failure[CallFailure]:
    """Return the refusal of a malformed request with status 400."""
    return Failure(create_refusal('malformed', detail, HTTPStatus.BAD_REQUEST))
