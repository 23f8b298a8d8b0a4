"""Tests the submitter with stale reads of single keys."""

from asyncio import run
from random import Random
from typing import Any, cast

from returns.result import Result, Success

from bergamotshunt.kernel import MessageBus
from bergamotshunt.messages import StoreCommit, StoreGet, SubmitChange
from bergamotshunt.operators.targets import Change, ServiceTargets, Target
from bergamotshunt.operators.targets_messages import (
    SubmitFailure,
    SubmitFailureKind,
)
from bergamotshunt.store.store_codec import StoreCodec
from bergamotshunt.store.submitter import Submitter
from standins.platform_data import KeyValueData

CODEC = StoreCodec('p/')


class StaleReadBus:
    """Replaces the bus and the store task; chosen reads are stale once.

    Attributes:
        data: Current data of the store.
        old_data: Earlier data, which a stale read returns.
        stale_once: Parts of keys whose next read is stale.
    """

    def __init__(self) -> None:
        self.data = KeyValueData()
        self.old_data = self.data.copy()
        self.stale_once: set[str] = set()

    async def ask(self, message: Any) -> Any:
        if isinstance(message, StoreCommit):
            response = self.data.run_transaction(CODEC.encode_commit(message))
            return Success(CODEC.decode_committed(response))
        assert isinstance(message, StoreGet)
        matching = {part for part in self.stale_once if part in message.key}
        self.stale_once -= matching
        data = self.old_data if matching else self.data
        response = data.read_range(CODEC.encode_get(message))
        return Success(CODEC.decode_entries(response))


def submit(
    bus: StaleReadBus, submission_id: str, revision: int, removes: bool = False
) -> Result[Change, SubmitFailure]:
    submitter = Submitter(cast(MessageBus, bus), 100, Random(1))
    target = Target(submission_id)
    after = None if removes else ServiceTargets('catalog', (target,))
    message = SubmitChange('catalog', after, revision, 'ana', '', submission_id)
    return run(submitter.submit(message))


def test_a_stale_read_of_the_targets_overwrites_nothing() -> None:
    """Guards against overwriting a change after a stale read of targets.

    A commit that only compares the head would do so.
    """
    bus = StaleReadBus()
    assert submit(bus, 's1', 0).unwrap().revision == 1
    bus.old_data = bus.data.copy()
    assert submit(bus, 's2', 1).unwrap().revision == 2
    bus.stale_once = {'targets/services/'}
    failure = submit(bus, 's3', 1).failure()
    assert failure.kind is SubmitFailureKind.CONFLICT
    assert failure.conflicting_change is not None
    assert failure.conflicting_change.submission_id == 's2'


def test_a_stale_read_of_the_submission_applies_nothing_twice() -> None:
    """Guards against applying a repeated submission a second time.

    The read of the submission is stale, and the service was removed after
    the first time, so that its revision is the expected one again.
    """
    bus = StaleReadBus()
    first = submit(bus, 's1', 0)
    assert submit(bus, 's2', 1, removes=True).unwrap().revision == 2
    bus.stale_once = {'submissions/'}
    assert submit(bus, 's1', 0) == first
