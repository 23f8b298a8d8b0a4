"""Store: client of the platform's key-value store.

All calls of the daemon to the platform pass through this task, which
limits their rate and fails them at once while the platform is down.
"""

from asyncio import sleep, timeout
from collections.abc import Callable
from typing import Any, Final, TypeVar

from aiohttp import ClientError
from returns.result import Failure, Result, Success

from bergamotshunt.decisions.platform_access import (
    CallRate,
    Circuit,
    admit_call,
    record_failed_call,
    reserve_call,
)
from bergamotshunt.decoding import MalformedInputError, convert_malformed
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import (
    DescribeTask,
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreFailure,
    StoreGet,
    StoreWatch,
)
from bergamotshunt.metrics import PLATFORM_CALLS
from bergamotshunt.store.platform_connection import (
    CallResult,
    PlatformConnection,
    PlatformError,
    create_failure,
)
from bergamotshunt.store.store_codec import (
    RANGE_PATH,
    TXN_PATH,
    WATCH_PATH,
    StoreCodec,
    read_revision,
)

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000

Decoded = TypeVar('Decoded')
WatchResult = Result[StoreEntry | None, StoreFailure]


class StoreTask(Task):
    """Owns the connections to the platform."""

    name = 'store'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` creates the session."""
        super().__init__(context)
        self.platform = context.settings.platform
        self.codec = StoreCodec(self.platform.prefix)
        self.rate = CallRate(self.platform.calls_per_s, self.now_ms())
        self.circuit = Circuit()
        self.last_failure = ''

    async def open(self) -> None:
        """Create the session."""
        self.connection = PlatformConnection(self.platform)

    async def close(self) -> None:
        """Close the connections to the platform."""
        await super().close()
        await self.connection.close()

    async def call(
        self,
        kind: str,
        path: str,
        body: dict[str, Any],
        writes: bool,
    ) -> CallResult:
        """Send one call if rate limit and circuit breaker allow it.

        Args:
            kind: Kind of the call, a label of the metrics.
            path: Path at the platform.
            body: Document to send.
            writes: Whether the call may change stored data.
        """
        refusal = await self.admit()
        if refusal:
            PLATFORM_CALLS.labels(kind, 'not-sent').inc()
            return create_failure(refusal, may_have_run=False)
        outcome = await self.connection.call(path, body, writes)
        match outcome:
            case Failure(error):
                self.record_failure(kind, error)
            case _:
                self.record_success(kind)
        return outcome

    async def admit(self) -> str:
        """Wait until the rate limit allows a call.

        Returns:
            Why the call must not be sent, or an empty string.
        """
        timeout_ms = self.platform.timeout_ms
        circuit, admitted = admit_call(self.circuit, timeout_ms, self.now_ms())
        self.circuit = circuit
        if not admitted:
            return f'the platform is down: {self.last_failure}'
        calls_per_s = self.platform.calls_per_s
        rate, wait_ms = reserve_call(
            self.rate, calls_per_s, timeout_ms, self.now_ms()
        )
        self.rate = rate
        if wait_ms is None:
            return (
                f'the rate limit of {calls_per_s} platform calls per second '
                f'leaves no room for a call within {timeout_ms} ms'
            )
        if wait_ms:
            await sleep(wait_ms / MS_PER_S)
        return ''

    def record_failure(self, kind: str, error: PlatformError) -> None:
        """Record a failed call; a refusal shows that the platform is up."""
        PLATFORM_CALLS.labels(
            kind, 'refused' if error.is_refusal else 'failed'
        ).inc()
        if error.is_refusal:
            self.circuit = Circuit()
            return
        self.last_failure = error.failure.detail
        self.circuit = record_failed_call(
            self.circuit, self.context.rng, self.now_ms()
        )

    def record_success(self, kind: str) -> None:
        """Record a successful call and close the circuit breaker."""
        PLATFORM_CALLS.labels(kind, 'ok').inc()
        self.circuit = Circuit()

    async def watch_from(
        self,
        message: StoreWatch,
        after_revision: int,
    ) -> StoreEntry | int | None:
        """Wait for a write of the key after a revision of the store.

        Returns:
            The entry; the oldest revision that can be watched when the
            store refused the watch because its history before that is
            compacted; or None when the watch ended.

        Raises:
            MalformedInputError: A message of the platform is malformed.
        """
        body = self.codec.encode_watch(message.key, after_revision)
        async for response in self.connection.watch(WATCH_PATH, body):
            with convert_malformed('message of a watch'):
                if response.get('created'):
                    self.record_success('watch')
                if response.get('canceled'):
                    return compact_revision_of(response)
                if response.get('events'):
                    return self.codec.decode_entry(response['events'][0]['kv'])
        return None


def decode_response(
    decode: Callable[[dict[str, Any]], Decoded],
    outcome: CallResult,
    may_have_run: bool,
) -> Result[Decoded, StoreFailure]:
    """Decode the response to a call; a malformed one is a failure.

    Args:
        decode: Decoder of the response.
        outcome: Outcome of the call.
        may_have_run: Whether the call may have changed stored data.
    """
    match outcome:
        case Success(response):
            try:
                return Success(decode(response))
            except MalformedInputError as error:
                return Failure(StoreFailure(may_have_run, str(error)))
    return Failure(outcome.failure().failure)


def compact_revision_of(response: dict[str, Any]) -> int | None:
    """Return the oldest revision from which the store can still watch."""
    return int(response.get('compact_revision', 0)) or None


@HANDLERS.on(StoreGet)
async def get_entries(
    task: StoreTask,
    message: StoreGet,
) -> Result[tuple[StoreEntry, ...], StoreFailure]:
    """Read a key or all keys with a prefix."""
    body = task.codec.encode_get(message)
    outcome = await task.call('range', RANGE_PATH, body, writes=False)
    return decode_response(
        task.codec.decode_entries, outcome, may_have_run=False
    )


@HANDLERS.on(StoreCommit)
async def commit(
    task: StoreTask,
    message: StoreCommit,
) -> Result[StoreCommitted, StoreFailure]:
    """Write all puts if all expected revisions hold."""
    body = task.codec.encode_commit(message)
    outcome = await task.call('txn', TXN_PATH, body, writes=True)
    return decode_response(
        task.codec.decode_committed, outcome, may_have_run=True
    )


@HANDLERS.on(StoreWatch)
async def watch(task: StoreTask, message: StoreWatch) -> WatchResult:
    """Wait until a key is written after a revision."""
    refusal = await task.admit()
    if refusal:
        PLATFORM_CALLS.labels('watch', 'not-sent').inc()
        return Failure(StoreFailure(may_have_run=False, detail=refusal))
    try:
        async with timeout(message.timeout_ms / MS_PER_S):
            return await watch_until_written(task, message)
    except (ClientError, ConnectionError, ValueError) as error:
        return Failure(
            record_watch_failure(
                task, f'the watch of key {message.key!r} failed: {error!r}'
            )
        )
    except TimeoutError:
        return Success(None)


async def watch_until_written(
    task: StoreTask, message: StoreWatch
) -> WatchResult:
    """Watch a key; read it if its history has been compacted."""
    found = await task.watch_from(message, message.after_revision)
    if isinstance(found, StoreEntry):
        return Success(found)
    if found is None:
        return Failure(
            record_watch_failure(
                task, f'the platform ended the watch of key {message.key!r}'
            )
        )
    body = task.codec.encode_get(StoreGet(message.key))
    match await task.call('range', RANGE_PATH, body, writes=False):
        case Success(response):
            entries = task.codec.decode_entries(response)
            if entries and entries[0].mod_revision > message.after_revision:
                return Success(entries[0])
            found = await task.watch_from(message, read_revision(response))
    if isinstance(found, StoreEntry):
        return Success(found)
    return Failure(
        record_watch_failure(
            task,
            f'no watch of key {message.key!r} after the platform compacted '
            'its history',
        )
    )


def record_watch_failure(task: StoreTask, detail: str) -> StoreFailure:
    """Record a failed watch; the next one uses another URL."""
    failure = StoreFailure(may_have_run=False, detail=detail)
    task.record_failure('watch', PlatformError(failure))
    task.connection.use_next_url()
    return failure


@HANDLERS.on(DescribeTask)
def describe(task: StoreTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the state of the platform for the daemon's status."""
    failing = task.circuit.failures > 0
    return {
        'platform': {
            'reachable': not failing,
            'detail': task.last_failure if failing else '',
        },
    }


@PLUGINS.register('store')
def create_store(context: Context) -> StoreTask:
    """Create the store task."""
    return StoreTask(context)
