"""Directory: serves the servers and targets of a service to clients."""

from asyncio import Event, timeout
from collections import Counter
from contextlib import suppress
from typing import Any, Final

from msgspec.json import encode

from bergamotshunt.choice.service_index import ServiceIndex
from bergamotshunt.decoding import decode_json
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    MessageBus,
    Task,
)
from bergamotshunt.messages import (
    ConfirmationChanged,
    DescribeService,
    DescribeTask,
    MembersChanged,
    TargetsChanged,
)
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.peers.directory_documents import (
    DIRECTORY_PATH,
    DirectoryReply,
    DirectoryRequest,
)
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
# Less than the default timeout of a request between tasks.
MAX_WAIT_MS: Final = 5000


class DirectoryTask(Task):
    """Owns a copy of members and targets, with a version per service."""

    name = 'directory'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without members."""
        super().__init__(context)
        self.index = ServiceIndex()
        self.target_set = TargetSet(0, {})
        self.refusal = 'this daemon has not loaded the targets yet'
        self.version_by_service = Counter[str]()
        self.common_version = 0
        self.changed_by_service: dict[str, Event] = {}

    def version_of(self, service: str) -> str:
        """Return a token that changes whenever a service's reply does."""
        version = self.version_by_service[service]
        return f'{self.context.process_id}.{self.common_version}.{version}'

    def bump_versions(self, services: set[str]) -> None:
        """Increment the versions of services and wake waiting clients."""
        for service in services:
            self.version_by_service[service] += 1
            changed = self.changed_by_service.pop(service, None)
            if changed is not None:
                changed.set()

    def bump_all_versions(self) -> None:
        """Increment the version of every service."""
        self.common_version += 1
        self.bump_versions(set(self.changed_by_service))

    async def wait_for_change(self, service: str, wait_ms: int) -> None:
        """Wait until a service has a new version, at most ``wait_ms``."""
        changed = self.changed_by_service.setdefault(service, Event())
        with suppress(TimeoutError):
            async with timeout(min(wait_ms, MAX_WAIT_MS) / MS_PER_S):
                await changed.wait()

    def describe_service(self, service: str) -> DirectoryReply:
        """Return the servers and targets of a service."""
        return DirectoryReply(
            version=self.version_of(service),
            refusal=self.refusal,
            revision=self.target_set.revision,
            targets=self.target_set.by_service.get(service),
            members=self.index.members_of(service),
        )


@HANDLERS.on(MembersChanged)
def update_members(task: DirectoryTask, message: MembersChanged) -> None:
    """Apply changed members to the index."""
    task.bump_versions(
        task.index.update(message.members_by_id, message.changed_ids)
    )


@HANDLERS.on(TargetsChanged)
def update_targets(task: DirectoryTask, message: TargetsChanged) -> None:
    """Store newer targets."""
    is_first = not task.target_set.revision
    task.target_set = message.target_set
    if is_first:
        task.refusal = ''
    task.bump_all_versions()


@HANDLERS.on(ConfirmationChanged)
def update_confirmation(
    task: DirectoryTask, message: ConfirmationChanged
) -> None:
    """Update whether this daemon may serve, as clients see it."""
    unconfirmed = message.detail or 'the targets are not confirmed'
    task.refusal = '' if message.confirmed else unconfirmed
    task.bump_all_versions()


@HANDLERS.on(DescribeService)
async def describe_service(
    task: DirectoryTask, message: DescribeService
) -> DirectoryReply:
    """Return a service; wait for a change if the client is up to date."""
    if message.version == task.version_of(message.service):
        await task.wait_for_change(message.service, message.wait_ms)
    return task.describe_service(message.service)


@HANDLERS.on(DescribeTask)
def describe(task: DirectoryTask, _message: DescribeTask) -> dict[str, Any]:
    """Return how many services are watched, for the daemon's status."""
    return {'directory': {'followed': len(task.changed_by_service)}}


@PEER_ENDPOINTS.register(DIRECTORY_PATH)
async def serve_directory(bus: MessageBus, body: bytes) -> bytes:
    """Serve a client's request for the servers of a service."""
    request = decode_json(body, 'request for a directory', DirectoryRequest)
    return encode(
        await bus.ask(
            DescribeService(
                request['service'], request['version'], request['wait_ms']
            ),
            timeout_s=2 * MAX_WAIT_MS / MS_PER_S,
        )
    )


@PLUGINS.register('directory')
def create_directory(context: Context) -> DirectoryTask:
    """Create the directory task."""
    return DirectoryTask(context)
