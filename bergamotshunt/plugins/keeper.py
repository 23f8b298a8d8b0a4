"""Keeper: the operators' targets in force at this daemon."""

from typing import Any, Final

from msgspec.json import decode
from returns.result import Result, Success

from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import (
    DescribeTask,
    StoreEntry,
    StoreFailure,
    StoreGet,
    TargetsChanged,
)
from bergamotshunt.targets import ServiceTargets, TargetSet

HANDLERS: Final = HandlerTable()


class KeeperTask(Task):
    """Owns the targets in force."""

    name = 'keeper'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without targets."""
        super().__init__(context)
        self.target_set = TargetSet(0, {})

    async def start(self) -> None:
        """Learn the targets."""
        self.spawn(self.read_platform())

    async def read_platform(self) -> None:
        """Read the targets from the platform."""
        outcome: Result[tuple[StoreEntry, ...], StoreFailure]
        outcome = await self.post.ask(StoreGet('targets/', prefix=True))
        match outcome:
            case Success(entries):
                self.load(entries)

    def load(self, entries: tuple[StoreEntry, ...]) -> None:
        """Put the targets of the platform in force."""
        services = [
            decode(entry.content, type=ServiceTargets) for entry in entries
        ]
        revision = max((service.revision for service in services), default=0)
        by_service = {service.service: service for service in services}
        self.target_set = TargetSet(revision, by_service)
        self.post.publish(TargetsChanged(self.target_set))


@HANDLERS.on(DescribeTask)
def describe(task: KeeperTask, _message: DescribeTask) -> dict[str, Any]:
    """Describe the targets in force for the daemon's status."""
    return {
        'targets': {
            'revision': task.target_set.revision,
            'services': sorted(task.target_set.by_service),
        },
    }


@PLUGINS.register('keeper')
def create_keeper(context: Context) -> KeeperTask:
    """Create the keeper task."""
    return KeeperTask(context)
