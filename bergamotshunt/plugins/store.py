"""Store: client of the platform's key-value service.

Speaks the JSON gateway of the etcd v3 protocol: ``/v3/kv/range`` and
``/v3/kv/txn`` with base64 keys and values.
"""

from base64 import b64decode, b64encode
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout
from returns.result import Failure, Result, Success

from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import (
    StoreCommit,
    StoreEntry,
    StoreFailure,
    StoreGet,
)

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000


class StoreTask(Task):
    """Owns the connections to the platform."""

    name = 'store'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` creates the session."""
        super().__init__(context)
        self.platform = context.settings.platform

    async def open(self) -> None:
        """Create the session."""
        self.session = ClientSession(
            timeout=ClientTimeout(total=self.platform.timeout_ms / MS_PER_S),
        )

    async def close(self) -> None:
        """Close the connections to the platform."""
        await super().close()
        await self.session.close()

    def encode_key(self, key: str) -> str:
        """Encode a key, below the prefix of this system."""
        return b64encode((self.platform.prefix + key).encode()).decode()

    async def call(
        self,
        path: str,
        body: dict[str, Any],
    ) -> Result[dict[str, Any], StoreFailure]:
        """Send one call to the first URL of the platform."""
        url = f'{self.platform.urls[0]}{path}'
        try:
            async with self.session.post(url, json=body) as response:
                response.raise_for_status()
                return Success(await response.json())
        except (ClientError, TimeoutError, OSError) as error:
            detail = f'{type(error).__name__}: {error}'
            return Failure(StoreFailure(may_have_run=True, detail=detail))


@HANDLERS.on(StoreGet)
async def get_entries(
    task: StoreTask,
    message: StoreGet,
) -> Result[tuple[StoreEntry, ...], StoreFailure]:
    """Read a key or the keys below a prefix."""
    body: dict[str, Any] = {'key': task.encode_key(message.key)}
    if message.prefix:
        body['range_end'] = task.encode_key(f'{message.key}\x7f')
    answered = await task.call('/v3/kv/range', body)
    prefix_length = len(task.platform.prefix)
    return answered.map(
        lambda answer: tuple(
            StoreEntry(
                b64decode(entry['key']).decode()[prefix_length:],
                b64decode(entry['value']),
                int(entry['mod_revision']),
            )
            for entry in answer.get('kvs', ())
        ),
    )


@HANDLERS.on(StoreCommit)
async def commit(
    task: StoreTask,
    message: StoreCommit,
) -> Result[bool, StoreFailure]:
    """Write all puts if all expected revisions hold."""
    compare = [
        {
            'key': task.encode_key(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(revision),
        }
        for key, revision in message.expected
    ]
    operations = [
        {
            'request_put': {
                'key': task.encode_key(put.key),
                'value': b64encode(put.content).decode(),
            },
        }
        for put in message.puts
    ]
    deletions = [
        {'request_delete_range': {'key': task.encode_key(key)}}
        for key in message.deletes
    ]
    answered = await task.call(
        '/v3/kv/txn',
        {'compare': compare, 'success': operations + deletions},
    )
    return answered.map(lambda answer: bool(answer.get('succeeded', False)))


@PLUGINS.register('store')
def create_store(context: Context) -> StoreTask:
    """Create the store task."""
    return StoreTask(context)
