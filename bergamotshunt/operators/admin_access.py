"""Checks on every request to the administration API."""

from collections.abc import Mapping
from hmac import compare_digest
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.http.web import decode_headers, send_failure
from bergamotshunt.verdicts import CallFailure, create_refusal

UNAUTHENTICATED_PATHS: Final = frozenset(('/metrics',))
AUTHORIZATION_HEADER: Final = 'authorization'
BEARER_SCHEME: Final = 'bearer'
# Targets of 64 classes are about 20 KB.
MAX_BODY_BYTES: Final = 262_144
OPERATOR_SCOPE_KEY: Final = 'operator'


def find_operator(
    authorization: str,
    tokens_by_name: Mapping[str, str],
) -> str:
    """Return the operator whose token it is, or an empty string.

    All tokens are compared, each in constant time, so that the time of the
    response tells nothing about them.
    """
    scheme, _, header_text = authorization.partition(' ')
    is_bearer = scheme.lower() == BEARER_SCHEME
    # Header values are decoded as latin-1, settings as UTF-8.
    token = header_text.strip().encode('latin-1')
    operator = ''
    for name, known_token in tokens_by_name.items():
        if compare_digest(token, known_token.encode()) and is_bearer:
            operator = name
    return operator


def create_unauthorized_failure() -> CallFailure:
    """Build the response to a request without a known token."""
    return create_refusal(
        'unauthorized',
        'state the token of an operator: Authorization: Bearer TOKEN; '
        'tokens are set in section [operators] of the settings',
        HTTPStatus.UNAUTHORIZED,
    )


def create_head_too_large_failure(max_bytes: int) -> CallFailure:
    """Build the response to a request with too many header bytes."""
    return create_refusal(
        'head-too-large',
        f'the headers are larger than {max_bytes} bytes',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )


class AdminAccessMiddleware:
    """ASGI application that checks requests before another one.

    Puts the operator's name into the scope under ``operator``.

    Args:
        app: Application to protect.
        tokens_by_name: Operators' tokens.
        max_head_bytes: Largest sum of header names and values.
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
        size = sum(
            len(name) + len(header_text)
            for name, header_text in scope['headers']
        )
        if size + len(scope['raw_path']) > self._max_head_bytes:
            return create_head_too_large_failure(self._max_head_bytes)
        if scope['path'] in UNAUTHENTICATED_PATHS:
            return None
        authorization = decode_headers(scope).get(AUTHORIZATION_HEADER, '')
        operator = find_operator(authorization, self._tokens_by_name)
        if not operator:
            return create_unauthorized_failure()
        scope[OPERATOR_SCOPE_KEY] = operator
        return None
