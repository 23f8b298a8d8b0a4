"""Daemons that remember for this one that its server leaves."""

from asyncio import FIRST_COMPLETED, gather, timeout, wait
from asyncio import Task as AsyncioTask
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from contextlib import suppress
from typing import Any, Final, NamedTuple

from bergamotshunt.decisions.leaving_records import (
    choose_witnesses,
    newest_entry,
)
from bergamotshunt.decisions.past_knowledge import (
    PastKnowledge,
    WitnessAnswer,
    confirmations_needed,
    judge_past,
    list_witnesses,
)
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.log import log_event
from bergamotshunt.peers.leaving_records import (
    WitnessError,
    fetch_record,
    send_record,
)
from bergamotshunt.routing import ServerEntry

# A server counts an announcement as lost after a second without a response.
RECORD_TIMEOUT_S: Final = 0.5


class NewestEntry(NamedTuple):
    """The newest entry of this host's server that could be learned.

    Attributes:
        entry: The entry; None if nobody has one.
        past: How much is known of what an earlier process acknowledged.
    """

    entry: ServerEntry | None
    past: PastKnowledge


class LeavingWitnesses:
    """Lets peers remember that the server of this host leaves.

    Args:
        own_ip: Address of this daemon.
        write: Waits a while until the store has an entry; returns whether it
            has.
        spawn: Starts a task that ends with the owner at the latest.
    """

    def __init__(
        self,
        own_ip: str,
        write: Callable[[ServerEntry], Awaitable[bool]],
        spawn: Callable[[Coroutine[Any, Any, str]], 'AsyncioTask[str]'],
    ) -> None:
        """Create a recorder that has recorded nothing."""
        self._own_ip = own_ip
        self._write = write
        self._spawn = spawn
        self._recorded: ServerEntry | None = None

    async def record(
        self, entry: ServerEntry, peers: Iterable[FeedPeer]
    ) -> None:
        """Wait until the store or enough witnesses know an entry.

        Each of them outlives this process. Without any, the wait ends all
        the same: the server still needs a response.
        """
        if self._is_recorded(entry):
            return
        witnesses = choose_witnesses(self._own_ip, peers)
        tasks = {
            self._spawn(self._write_to_store(entry)),
            self._spawn(_send_to_witnesses(witnesses, entry)),
        }
        recorded_by = ''
        with suppress(TimeoutError):
            async with timeout(RECORD_TIMEOUT_S):
                recorded_by = await _wait_for_record(tasks)
        if recorded_by:
            self._recorded = entry
        log_event(
            'fleet:leaving-recorded',
            instance=entry.instance,
            state=entry.state.value,
            recorded_by=recorded_by,
            witnesses=[peer.ip for peer in witnesses],
        )

    async def find_newest(
        self, stored: ServerEntry | None, peers: tuple[FeedPeer, ...]
    ) -> NewestEntry:
        """Return the newest entry of this host's server that is known.

        Those whom the witnesses name are asked as well, unless enough is
        known without them: they may be gone, and answer only by a timeout.

        Args:
            stored: The entry in the store; None if it has none.
            peers: Daemons that may be witnesses.
        """
        witnesses = choose_witnesses(self._own_ip, peers)
        answers = await self._ask(witnesses)
        while True:
            witnesses = list_witnesses(self._own_ip, peers, answers)
            past = judge_past(witnesses, answers)
            asked = {answer.peer for answer in answers}
            missing = tuple(peer for peer in witnesses if peer not in asked)
            if past is PastKnowledge.CERTAIN or not missing:
                break
            answers += await self._ask(missing)
        newest = newest_entry([stored, *(answer.entry for answer in answers)])
        log_event(
            'fleet:witnesses-asked',
            witnesses=[peer.ip for peer in witnesses],
            asked=[answer.peer.ip for answer in answers],
            lasting=[
                answer.peer.ip for answer in answers if answer.remembers_all
            ],
            failures=[answer.failure for answer in answers if answer.failure],
            certain=past is PastKnowledge.CERTAIN,
            past=past.name.lower(),
            stored_state=stored and stored.state.value,
            newest_state=newest and newest.state.value,
        )
        return NewestEntry(newest, past)

    async def _ask(
        self, witnesses: tuple[FeedPeer, ...]
    ) -> tuple[WitnessAnswer, ...]:
        return tuple(
            await gather(
                *(_ask_witness(peer, self._own_ip) for peer in witnesses)
            )
        )

    def _is_recorded(self, entry: ServerEntry) -> bool:
        recorded = self._recorded
        return recorded is not None and (
            (recorded.instance, recorded.born_ms, recorded.state)
            == (entry.instance, entry.born_ms, entry.state)
        )

    async def _write_to_store(self, entry: ServerEntry) -> str:
        return 'store' if await self._write(entry) else ''


async def _send_to_witnesses(
    witnesses: tuple[FeedPeer, ...], entry: ServerEntry
) -> str:
    """Send an entry to all witnesses.

    Returns:
        Who has recorded it; empty if too few have.
    """
    answers = await gather(
        *(_inform_witness(peer, entry) for peer in witnesses)
    )
    count = sum(answers)
    needed = confirmations_needed(witnesses)
    return f'{count} witnesses' if count and count >= needed else ''


async def _inform_witness(peer: FeedPeer, entry: ServerEntry) -> bool:
    """Send an entry to a witness; return whether it has recorded it."""
    with suppress(WitnessError):
        await send_record(peer, entry)
        return True
    return False


async def _ask_witness(peer: FeedPeer, ip: str) -> WitnessAnswer:
    try:
        return await fetch_record(peer, ip)
    except WitnessError as error:
        return WitnessAnswer(peer, failure=str(error))


async def _wait_for_record(tasks: 'set[AsyncioTask[str]]') -> str:
    """Return who recorded an entry first; empty if nobody did.

    The other tasks go on: each further record outlasts another failure.
    """
    pending = tasks
    while pending:
        done, pending = await wait(pending, return_when=FIRST_COMPLETED)
        for task in done:
            if task.result():
                return task.result()
    return ''
