"""Access control of the administration API: tokens and header size."""

from collections.abc import Mapping
from hmac import compare_digest
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.http.web import decode_headers, send_failure
from bergamotshunt.verdicts import CallFailure, create_refusal

UNAUTHENTICATED_PATHS: Final = frozenset(('/metrics',))
AUTHORIZATION_HEADER: Final = 'authorization'
BEARER_SCHEME: Final = 'bearer'
# The document of a service with 64 targets, the maximum, takes about 20 KB.
MAX_BODY_BYTES: Final = 262_144
OPERATOR_SCOPE_KEY: Final = 'operator'


def find_operator(
    authorization: str,
    tokens_by_name: Mapping[str, str],
) -> str:
    """Return the operator that an Authorization header belongs to.

    Compares all tokens, each in constant time, so that the response time
    leaks nothing about them.

    Args:
        authorization: Value of the header.
        tokens_by_name: Tokens by name of the operator.

    Returns:
        The name of the operator, or an empty string without a match.
    """
    scheme, _, credentials = authorization.partition(' ')
    is_bearer = scheme.lower() == BEARER_SCHEME
    # ASGI headers were decoded as latin-1, the tokens of the settings as
    # UTF-8; both are compared as bytes.
    token = credentials.strip().encode('latin-1')
    operator = ''
    for name, known_token in tokens_by_name.items():
        if compare_digest(token, known_token.encode()) and is_bearer:
            operator = name
    return operator


def create_unauthorized_failure() -> CallFailure:
    """Return the failure for a request without a valid operator token."""
    return create_refusal(
        'unauthorized',
        'missing or unknown operator token; send the header '
        '"Authorization: Bearer TOKEN" with a token from section [operators] '
        'of the settings',
        HTTPStatus.UNAUTHORIZED,
    )


def create_head_too_large_failure(size: int, max_bytes: int) -> CallFailure:
    """Return the failure for a request whose headers are too large.

    Args:
        size: Bytes of the path and the headers.
        max_bytes: Limit for that size.
    """
    return create_refusal(
        'head-too-large',
        f'the path and the headers have {size} bytes; at most {max_bytes} are '
        'allowed',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )


class AdminAccessMiddleware:
    """ASGI middleware that authenticates operators and limits header size.

    Stores the operator's name in the scope under ``operator``.

    Args:
        app: ASGI application to protect.
        tokens_by_name: Tokens by name of the operator.
        max_head_bytes: Limit for the path, header names and header values
            together.
    """

    def __init__(
        self,
        app: Any,
        tokens_by_name: Mapping[str, str],
        max_head_bytes: int,
    ) -> None:
        """Wrap the application."""
        self._app = app
        self._tokens_by_name = tokens_by_name
        self._max_head_bytes = max_head_bytes

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request (ASGI)."""
        failure = self._check(scope)
        if failure is None:
            await self._app(scope, receive, send)
        else:
            await send_failure(send, failure, '')

    def _check(self, scope: Any) -> CallFailure | None:
        size = len(scope['raw_path']) + sum(
            len(name) + len(header_text)
            for name, header_text in scope['headers']
        )
        if size > self._max_head_bytes:
            return create_head_too_large_failure(size, self._max_head_bytes)
        if scope['path'] in UNAUTHENTICATED_PATHS:
            return None
        authorization = decode_headers(scope).get(AUTHORIZATION_HEADER, '')
        operator = find_operator(authorization, self._tokens_by_name)
        if not operator:
            return create_unauthorized_failure()
        scope[OPERATOR_SCOPE_KEY] = operator
        return None
