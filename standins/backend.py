"""Stand-in for a backend server with slots and injected faults."""

from asyncio import Semaphore, sleep
from collections import Counter
from typing import Any

from bergamotshunt.web import decode_headers, read_body, send_json, send_whole

MAX_BODY_BYTES = 1 << 26


class BackendStandIn:
    """Answers every request and counts executions by booking key.

    Args:
        name: Told in each answer.
        slots: Requests that run at the same time.
        service_time_ms: Time that each request holds a slot.
    """

    def __init__(
        self, name: str, slots: int = 10, service_time_ms: float = 1
    ) -> None:
        """Create an idle server."""
        self.name = name
        self.slots = Semaphore(slots)
        self.service_time_ms = service_time_ms
        self.executions_by_key = Counter[str]()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request (ASGI)."""
        headers = decode_headers(scope)
        body = await read_body(receive, MAX_BODY_BYTES)
        if scope['path'] in {'/health', '/load'}:
            await send_json(send, {'healthy': True})
            return
        async with self.slots:
            await sleep(self.service_time_ms / 1000)
            key = headers.get('idempotency-key')
            if key:
                self.executions_by_key[key] += 1
        answer = f'{self.name} {scope["method"]} {scope["path"]} {len(body)}'
        await send_whole(
            send,
            200,
            [
                ('content-type', 'text/plain'),
                ('x-request-id', headers.get('bergamotshunt-request-id', '')),
            ],
            answer.encode(),
        )
