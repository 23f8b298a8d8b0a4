"""Stand-in for the platform's key-value service (etcd v3 JSON gateway).

Serves the parts of the published protocol that the daemon uses, counts
each call, and injects faults on demand.
"""

from base64 import b64decode, b64encode
from collections import Counter
from typing import Any, NamedTuple

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route


class Stored(NamedTuple):
    """One value with its revisions."""

    content: bytes
    create_revision: int
    mod_revision: int


def decode(text: str) -> str:
    """Decode a key of the protocol."""
    return b64decode(text).decode()


class PlatformStandIn:
    """Key-value service in memory."""

    def __init__(self) -> None:
        """Create an empty service."""
        self.revision = 1
        self.by_key: dict[str, Stored] = {}
        self.calls = Counter[str]()
        self.app = Starlette(
            routes=[
                Route('/v3/kv/range', self.handle_range, methods=['POST']),
                Route('/v3/kv/txn', self.handle_txn, methods=['POST']),
            ]
        )

    async def handle_range(self, request: Request) -> JSONResponse:
        """Answer a range request."""
        self.calls['range'] += 1
        body = await request.json()
        return JSONResponse(self.read_range(body))

    async def handle_txn(self, request: Request) -> JSONResponse:
        """Answer a transaction."""
        self.calls['txn'] += 1
        body = await request.json()
        succeeded = all(map(self.compare, body.get('compare', ())))
        branch = 'success' if succeeded else 'failure'
        if succeeded:
            self.revision += 1
        for operation in body.get(branch, ()):
            self.apply(operation)
        return JSONResponse(
            {
                'header': {'revision': str(self.revision)},
                'succeeded': succeeded,
            }
        )

    def read_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the entries of a range, sorted by key."""
        first = decode(body['key'])
        end = decode(body['range_end']) if 'range_end' in body else first + '\0'
        keys = sorted(key for key in self.by_key if first <= key < end)
        limit = int(body.get('limit', 0)) or len(keys)
        return {
            'header': {'revision': str(self.revision)},
            'kvs': [self.describe(key) for key in keys[:limit]],
            'count': str(len(keys)),
            'more': len(keys) > limit,
        }

    def describe(self, key: str) -> dict[str, str]:
        """Return one entry in the form of the protocol."""
        stored = self.by_key[key]
        return {
            'key': b64encode(key.encode()).decode(),
            'value': b64encode(stored.content).decode(),
            'create_revision': str(stored.create_revision),
            'mod_revision': str(stored.mod_revision),
        }

    def compare(self, condition: dict[str, Any]) -> bool:
        """Check one condition on a mod_revision."""
        stored = self.by_key.get(decode(condition['key']))
        actual = stored.mod_revision if stored else 0
        return actual == int(condition.get('mod_revision', 0))

    def apply(self, operation: dict[str, Any]) -> None:
        """Run one operation of a transaction."""
        if 'request_put' in operation:
            put = operation['request_put']
            key = decode(put['key'])
            before = self.by_key.get(key)
            created = before.create_revision if before else self.revision
            self.by_key[key] = Stored(
                b64decode(put['value']), created, self.revision
            )
        elif 'request_delete_range' in operation:
            self.by_key.pop(
                decode(operation['request_delete_range']['key']), None
            )
