"""Heads of callers' requests: what is accepted, and what is passed on."""

from collections.abc import Mapping
from http import HTTPStatus
from random import Random
from re import ASCII, DOTALL, sub
from re import compile as compile_pattern
from typing import Any, Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import CallHead, HeaderItems
from bergamotshunt.decisions.deadlines import parse_deadline_ms
from bergamotshunt.decisions.matching import match_target
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
# A call tree is up to 7 deep; a deeper call is a loop between services.
MAX_DEPTH: Final = 32
OWN_PREFIX: Final = b'bergamotshunt-'
READ_HEADERS: Final = frozenset(
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
PLAIN_CONNECTION_VALUES: Final = frozenset((b'', b'close', b'keep-alive'))
_ID = compile_pattern('[A-Za-z0-9._:-]{1,128}', ASCII)
# What a term of a call looks like, and how that is told to the caller.
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
        passed: Headers for the backend server, names in lower case.
        read: Headers that the entry reads itself.
    """

    passed: HeaderItems
    read: Mapping[bytes, bytes]


class RequestPath(NamedTuple):
    """Path of a request.

    Attributes:
        service: First segment.
        encoded: The rest as received, with the query string.
        plain: The rest decoded, to find the target by.
    """

    service: str
    encoded: str
    plain: str


class CallParameters(NamedTuple):
    """Terms of a call that its caller states.

    Attributes:
        time_ms: Time until the caller gives up.
        depth: Number of calls above this one in its call tree.
        internal: Whether the call is an internal check.
        booking_key: Idempotency key, or empty.
    """

    time_ms: int
    depth: int
    internal: bool
    booking_key: str


def measure_head(scope: Any) -> int:
    """Return the bytes of the path, the query string and all headers."""
    size = len(scope['raw_path']) + len(scope['query_string'])
    return size + sum(len(name) + len(text) for name, text in scope['headers'])


def read_headers(scope: Any) -> Result[RequestHeaders, CallFailure]:
    """Separate the headers to pass on from those that the entry reads.

    Headers of this system that callers may not set are dropped.
    """
    read = {
        name: text for name, text in scope['headers'] if name in READ_HEADERS
    }
    count = sum(name in READ_HEADERS for name, _ in scope['headers'])
    if count > len(read):
        return refuse_malformed('a header that may come once was sent twice')
    try:
        passed = tuple(
            (name.decode(), text.decode())
            for name, text in scope['headers']
            if name not in DROPPED_HEADERS and not name.startswith(OWN_PREFIX)
        )
    except UnicodeDecodeError:
        return refuse_malformed('a header is not UTF-8')
    named = read.get(b'connection', b'').lower()
    if named not in PLAIN_CONNECTION_VALUES:
        hidden = {part.strip() for part in named.decode('latin-1').split(',')}
        passed = tuple(pair for pair in passed if pair[0] not in hidden)
    return Success(RequestHeaders(passed, read))


def read_request_id(
    headers: Mapping[bytes, bytes], rng: Random
) -> Result[str, CallFailure]:
    """Return the caller's request id, or a new one."""
    given = headers.get(REQUEST_ID.encode())
    if given is None:
        return Success(f'{rng.getrandbits(REQUEST_ID_BITS):032x}')
    text = given.decode('latin-1')
    if _ID.fullmatch(text) is None:
        return refuse_malformed(
            f'{REQUEST_ID} must be 1 to 128 letters, digits or ._:-'
        )
    return Success(text)


def read_path(scope: Any) -> Result[RequestPath, CallFailure]:
    """Split the path of a request and decode what decides on the target."""
    raw = scope['raw_path'].decode('latin-1')
    service, _, rest = raw.removeprefix('/').partition('/')
    if '%' in service:
        return refuse_malformed('the name of the service has an escape')
    decoded = scope['path'].removeprefix('/').partition('/')[2]
    plain = normalize_path(f'/{rest}', f'/{decoded}')
    if isinstance(plain, Failure):
        return Failure(plain.failure())
    query = scope['query_string'].decode('latin-1')
    return Success(
        RequestPath(
            service,
            f'/{rest}?{query}' if query else f'/{rest}',
            plain.unwrap(),
        )
    )


def normalize_path(encoded: str, decoded: str) -> Result[str, CallFailure]:
    """Return the path by which the target is found.

    A server decodes escapes and joins slashes before it acts on a path;
    by the path as received, a booking could pass as another class.

    Args:
        encoded: Path below the service as received.
        decoded: The same path with its escapes decoded.
    """
    plain = encoded
    if '%' in encoded:
        if _BAD_ESCAPE.search(encoded):
            return refuse_malformed('the path has a malformed percent-escape')
        plain = decoded
    if '.' in plain and _DOT_SEGMENT.search(plain):
        return refuse_malformed('the path has a dot segment')
    if '//' in plain:
        plain = sub('/{2,}', '/', plain)
    return Success(plain)


def find_target(
    by_service: Mapping[str, ServiceTargets], method: str, path: RequestPath
) -> Result[Target, CallFailure]:
    """Find the operators' target that a request belongs to."""
    service = by_service.get(path.service)
    if service is None:
        return Failure(
            create_refusal(
                'unknown-service',
                f'no targets are set for the service {path.service!r}',
                HTTPStatus.NOT_FOUND,
            ),
        )
    target = match_target(service, method, path.plain)
    if target is None:
        return Failure(
            create_refusal(
                'no-target',
                f'no target of {path.service} covers {method} {path.plain}',
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
    """Class a request by the operators' targets and read its terms."""
    path = read_path(scope)
    if isinstance(path, Failure):
        return Failure(path.failure())
    target = find_target(by_service, scope['method'], path.unwrap())
    if isinstance(target, Failure):
        return Failure(target.failure())
    parameters = read_parameters(headers.read, settings)
    if isinstance(parameters, Failure):
        return Failure(parameters.failure())
    found = target.unwrap()
    split = path.unwrap()
    time_ms, depth, internal, booking_key = parameters.unwrap()
    return Success(
        CallHead(
            split.service,
            scope['method'],
            split.encoded,
            headers.passed,
            request_id,
            now_ms + time_ms,
            found,
            depth,
            internal or found.internal,
            booking_key,
        ),
    )


def read_parameters(
    read: Mapping[bytes, bytes], settings: CallsSettings
) -> Result[CallParameters, CallFailure]:
    """Read deadline, depth, internal mark and booking key of a request."""
    parameters: dict[str, str] = {}
    for name, text in read.items():
        pattern, allowed = PARAMETER_RULES.get(name, ANY_TEXT)
        parameter = text.decode('latin-1')
        if pattern.fullmatch(parameter) is None:
            return refuse_malformed(f'{name.decode()} must be {allowed}')
        parameters[name.decode()] = parameter
    time_ms = parse_deadline_ms(
        parameters.get(DEADLINE_MS),
        settings.default_deadline_ms,
        settings.max_deadline_ms,
    )
    if time_ms is None:
        return refuse_malformed(f'{DEADLINE_MS} must be a whole number')
    depth = int(parameters.get(DEPTH, '0'))
    if depth > MAX_DEPTH:
        return Failure(
            create_refusal(
                'too-deep',
                f'the call is deeper than {MAX_DEPTH} in its call tree',
                HTTPStatus.LOOP_DETECTED,
            ),
        )
    return Success(
        CallParameters(
            time_ms,
            depth,
            parameters.get(INTERNAL) == '1',
            parameters.get(BOOKING_KEY, ''),
        ),
    )


def refuse_malformed(detail: str) -> Failure[CallFailure]:
    """Refuse a malformed request."""
    return Failure(create_refusal('malformed', detail, HTTPStatus.BAD_REQUEST))
