"""The key-value service of the platform stand-in, as an ASGI application."""

from asyncio import Event as AsyncioEvent
from asyncio import Queue, sleep
from collections import Counter
from collections.abc import AsyncIterator, Callable
from time import monotonic
from typing import Any, Final

from msgspec.json import decode
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from standins.platform_data import (
    Event,
    KeyValueData,
    RejectedCallError,
    Stored,
    decode_key,
    describe_event,
)
from standins.platform_faults import Limits, PlatformFaults, RateLimiter
from standins.platform_responses import (
    abort_connection,
    create_error_response,
    create_json_response,
    encode_line,
)

CONTROL_PATH: Final = '/control'
TOO_MANY_REQUESTS: Final = 429
MAX_BODY_BYTES: Final = 4_000_000


class PlatformStandIn:
    """In-memory key-value service.

    Args:
        limits: Rates above which calls get status 429.
        clock: Monotonic time in seconds.

    Attributes:
        app: ASGI application, for an ``HttpServer``.
        calls: Number of calls by kind. ``limited`` counts those rejected by
            the rate limit, ``dropped`` those closed while the service was
            down, ``lost`` the writes whose response was not sent.
        watching: Number of open watches.
    """

    def __init__(
        self,
        limits: Limits = Limits(),
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create an empty service."""
        self.data = KeyValueData(clock)
        self.faults = PlatformFaults()
        self.calls = Counter[str]()
        self.watching = 0
        self.faults_changed = AsyncioEvent()
        self.write_limiter = RateLimiter(limits.writes_per_s, clock)
        self.read_limiter = RateLimiter(limits.reads_per_s, clock)
        self.app = self.serve
        self._stale_data: KeyValueData | None = None
        self._transports: set[Any] = set()
        self._routes = Starlette(
            routes=[
                self._route(
                    '/v3/kv/range', 'range', self.read_limiter, self._range
                ),
                self._route('/v3/kv/txn', 'txn', self.write_limiter, self._txn),
                self._route(
                    '/v3/lease/grant',
                    'lease-grant',
                    self.write_limiter,
                    self._grant,
                ),
                self._route(
                    '/v3/lease/keepalive',
                    'lease-keepalive',
                    self.write_limiter,
                    self._keep_alive,
                ),
                self._route(
                    '/v3/lease/revoke',
                    'lease-revoke',
                    self.write_limiter,
                    self._revoke,
                ),
                self._route(
                    '/v3/watch', 'watch', self.read_limiter, self._watch
                ),
                Route(CONTROL_PATH, self.control, methods=['GET', 'POST']),
            ]
        )

    @property
    def by_key(self) -> dict[str, Stored]:
        """Return the values by key, for tests that inspect or set them."""
        return self.data.by_key

    def set_faults(self, **fields: Any) -> None:
        """Set the given faults; ``down`` closes all connections."""
        stale_before = self.faults.stale
        self.faults = self.faults._replace(**fields)
        if self.faults.stale and not stale_before:
            self._stale_data = self.data.copy()
        if not self.faults.stale:
            self._stale_data = None
        if self.faults.down:
            self.reset_connections()
        self.faults_changed.set()

    def reset_connections(self) -> None:
        """Abort all connections with a call or a watch in progress."""
        for transport in tuple(self._transports):
            transport.abort()

    def expire_leases(self) -> None:
        """Expire all leases now, as if no owner had renewed them in time."""
        self.data.expire_leases(all_leases=True)

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call (ASGI), or abort it while the service is down."""
        if scope['path'] == CONTROL_PATH:
            await self._routes(scope, receive, send)
            return
        # ``send`` is a method of uvicorn's RequestResponseCycle; ASGI has no
        # other access to the transport.
        transport = send.__self__.transport
        if self.faults.down:
            self.calls['dropped'] += 1
            await abort_connection(transport, receive)
            return
        self._transports.add(transport)
        try:
            await self._serve_call(scope, receive, send, transport)
        finally:
            self._transports.discard(transport)

    async def _serve_call(
        self, scope: Any, receive: Any, send: Any, transport: Any
    ) -> None:
        if self.faults.delay_ms:
            await sleep(self.faults.delay_ms / 1000)
        lost = False

        async def send_or_lose(message: Any) -> None:
            nonlocal lost
            is_response_start = message['type'] == 'http.response.start'
            if (
                is_response_start
                and scope.get('wrote')
                and self.faults.lose_answers
            ):
                remaining = self.faults.lose_answers - 1
                self.calls['lost'] += 1
                lost = True
                transport.abort()
                down = self.faults.down_after_loss or self.faults.down
                self.set_faults(lose_answers=remaining, down=down)
            if not lost:
                await send(message)

        await self._routes(scope, receive, send_or_lose)
        if lost:
            await abort_connection(transport, receive)

    def _route(
        self, path: str, kind: str, limiter: RateLimiter, respond: Any
    ) -> Route:
        async def handle(request: Request) -> Response:
            self.calls[kind] += 1
            if not limiter.admit():
                self.calls['limited'] += 1
                return create_error_response(
                    RejectedCallError(TOO_MANY_REQUESTS, 8, 'too many requests')
                )
            content = await request.body()
            if len(content) > MAX_BODY_BYTES:
                detail = 'etcdserver: request is too large'
                return create_error_response(RejectedCallError(400, 3, detail))
            self.data.expire_leases()
            try:
                return respond(decode(content), request.scope)
            except RejectedCallError as error:
                return create_error_response(error)
            except (ValueError, KeyError, TypeError) as error:
                return create_error_response(
                    RejectedCallError(400, 3, repr(error))
                )

        return Route(path, handle, methods=['POST'])

    def _range(self, body: Any, _scope: Any) -> Response:
        return create_json_response(
            (self._stale_data or self.data).read_range(body)
        )

    def _txn(self, body: Any, scope: Any) -> Response:
        response = self.data.run_transaction(body)
        scope['wrote'] = 'succeeded' in response
        return create_json_response(response)

    def _grant(self, body: Any, scope: Any) -> Response:
        ttl_s = int(body.get('TTL', 0))
        lease_id = self.data.grant_lease(ttl_s)
        scope['wrote'] = True
        return create_json_response(
            {
                'header': self.data.header(),
                'ID': str(lease_id),
                'TTL': str(ttl_s),
            }
        )

    def _keep_alive(self, body: Any, _scope: Any) -> Response:
        lease_id = int(body['ID'])
        renewed = {
            'header': self.data.header(),
            'ID': str(lease_id),
            'TTL': str(self.data.renew_lease(lease_id)),
        }
        return create_json_response({'result': renewed})

    def _revoke(self, body: Any, scope: Any) -> Response:
        self.data.revoke_lease(int(body['ID']))
        scope['wrote'] = True
        return create_json_response({'header': self.data.header()})

    def _watch(self, body: Any, _scope: Any) -> Response:
        request = body['create_request']
        return StreamingResponse(
            self._stream(request), media_type='application/json'
        )

    async def _stream(self, request: dict[str, Any]) -> AsyncIterator[bytes]:
        start_key = decode_key(request['key'])
        end_key = decode_key(request.get('range_end', '')) or f'{start_key}\0'
        start_revision = int(request.get('start_revision', 0))
        data = self._stale_data or self.data
        queue: Queue[Event] = Queue()
        data.listeners.add(queue.put_nowait)
        self.watching += 1
        try:
            yield encode_line(
                {'header': data.header(), 'watch_id': '0', 'created': True}
            )
            retained = tuple(data.events)
            oldest = retained[0].revision if retained else 0
            if (
                0 < start_revision < oldest
                and len(retained) == data.events.maxlen
            ):
                yield encode_line(
                    {'canceled': True, 'compact_revision': str(oldest)}
                )
                return
            pending_events = [
                event
                for event in retained
                if 0 < start_revision <= event.revision
            ]
            # The queued events were published before ``retained`` was copied,
            # which contains them already.
            while not queue.empty():
                queue.get_nowait()
            while True:
                for event in pending_events:
                    if start_key <= event.key < end_key:
                        yield encode_line(
                            {
                                'header': data.header(),
                                'watch_id': '0',
                                'events': [describe_event(event)],
                            }
                        )
                pending_events = [await queue.get()]
        finally:
            self.watching -= 1
            data.listeners.discard(queue.put_nowait)

    async def control(self, request: Request) -> Response:
        """Set the faults (POST) and return faults and counts."""
        if request.method == 'POST':
            changes = decode(await request.body())
            if changes.pop('expire_leases', False):
                self.expire_leases()
            if changes.pop('reset_connections', False):
                self.reset_connections()
            if changes.pop('reset_counts', False):
                self.calls.clear()
            if not set(changes) <= set(PlatformFaults._fields):
                return create_error_response(
                    RejectedCallError(
                        400,
                        3,
                        f'unknown fault in {sorted(changes)}; '
                        f'expected {PlatformFaults._fields}',
                    )
                )
            self.set_faults(**changes)
        return create_json_response(
            {
                'faults': self.faults._asdict(),
                'calls': dict(self.calls),
                'watching': self.watching,
                'revision': self.data.revision,
                'keys': len(self.by_key),
            }
        )
