"""Tests of requests between the kernel's tasks, and of tasks that stop."""

from asyncio import Event, create_task, run, sleep
from random import Random

import pytest

from bergamotshunt.kernel import (
    Context,
    HandlerTable,
    MessageBus,
    NoHandlerError,
    Task,
    TaskStoppedError,
)
from bergamotshunt.messages import DescribeTask, SubmitChange
from bergamotshunt.plugins.admin import AdminTask
from bergamotshunt.settings import Settings

HANDLERS = HandlerTable()
CHANGE = SubmitChange('jar-ledger', None, 1, 'ana', 'why', 's1')


class SlowTask(Task):
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.received = Event()
        self.release = Event()


@HANDLERS.on(SubmitChange)
async def wait_for_release(task: SlowTask, _message: SubmitChange) -> str:
    task.received.set()
    await task.release.wait()
    return 'done'


def create_context() -> Context:
    return Context(Settings(), MessageBus(), Random(1), 1)


def test_request_to_a_stopped_task_raises() -> None:
    """Guards against a requester that is cancelled with the stopped task.

    The admin port would then respond with status 500 and no document.
    """

    async def scenario() -> None:
        context = create_context()
        task = SlowTask(context)
        mailbox_loop = create_task(task.run())
        request = create_task(context.bus.ask(CHANGE))
        await task.received.wait()
        await task.close()
        with pytest.raises(TaskStoppedError):
            await request
        mailbox_loop.cancel()

    run(scenario())


def test_request_without_a_handler_raises() -> None:
    """Guards against a requester that waits although no task can reply."""

    async def scenario() -> None:
        with pytest.raises(NoHandlerError):
            await create_context().bus.ask(DescribeTask())

    run(scenario())


def test_interrupted_submission_is_unknown_and_drain_waits() -> None:
    """Guards against a submission without an outcome when a daemon stops.

    The task that commits the change stops before it replies to the admin
    task, whose drain waits for the submission.
    """

    async def scenario() -> None:
        context = create_context()
        slow = SlowTask(context)
        admin = AdminTask(context)
        mailbox_loop = create_task(slow.run())
        submitting = create_task(admin.submit_change(CHANGE))
        await slow.received.wait()
        draining = create_task(admin.drain())
        await sleep(0)
        assert not draining.done()
        await slow.close()
        failure = (await submitting).failure()
        assert failure.kind.value == 'outcome-unknown'
        await draining
        mailbox_loop.cancel()
        await admin.close()

    run(scenario())
