"""Daemons that remember for this one that its server leaves."""

from asyncio import FIRST_COMPLETED, gather, sleep, timeout, wait
from asyncio import Task as AsyncioTask
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from contextlib import suppress
from typing import Any, Final, NamedTuple

from bergamotshunt.decisions.leaving_records import (
    choose_witnesses,
    newest_entry,
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
# Two of three that have recorded an entry and two that answer have one in
# common.
MIN_CONFIRMATIONS: Final = 2
# While many daemons start at once, their witnesses do, too.
ASK_ROUNDS: Final = 4
ASK_INTERVAL_S: Final = 0.2


class WitnessAnswer(NamedTuple):
    """Answer of a witness, or the reason why there is none.

    Attributes:
        entry: The entry that it remembers; None without one.
        failure: Why it did not answer; empty if it did.
    """

    entry: ServerEntry | None = None
    failure: str = ''


class NewestEntry(NamedTuple):
    """The newest entry of this host's server that could be learned.

    Attributes:
        entry: The entry; None if nobody has one.
        is_certain: Whether enough witnesses have answered.
    """

    entry: ServerEntry | None
    is_certain: bool


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
        self, stored: ServerEntry | None, peers: Iterable[FeedPeer]
    ) -> NewestEntry:
        """Return the newest entry of this host's server that is known.

        Args:
            stored: The entry in the store; None if it has none.
            peers: Daemons that may be witnesses.
        """
        witnesses = choose_witnesses(self._own_ip, peers)
        for round_number in range(ASK_ROUNDS):
            if round_number:
                await sleep(ASK_INTERVAL_S)
            newest = await self._ask(stored, witnesses)
            if newest.is_certain:
                break
        return newest

    async def _ask(
        self, stored: ServerEntry | None, witnesses: tuple[FeedPeer, ...]
    ) -> NewestEntry:
        """Ask all witnesses once."""
        answers = await gather(
            *(_ask_witness(peer, self._own_ip) for peer in witnesses)
        )
        newest = newest_entry([stored, *(answer.entry for answer in answers)])
        failures = [answer.failure for answer in answers if answer.failure]
        needed = min(MIN_CONFIRMATIONS, len(witnesses))
        is_certain = len(answers) - len(failures) >= needed
        log_event(
            'fleet:witnesses-asked',
            witnesses=[peer.ip for peer in witnesses],
            failures=failures,
            certain=is_certain,
            stored_state=stored and stored.state.value,
            newest_state=newest and newest.state.value,
        )
        return NewestEntry(newest, is_certain)

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
    count = sum(not answer.failure for answer in answers)
    needed = min(MIN_CONFIRMATIONS, len(witnesses))
    return f'{count} witnesses' if count and count >= needed else ''


async def _inform_witness(peer: FeedPeer, entry: ServerEntry) -> WitnessAnswer:
    try:
        await send_record(peer, entry)
    except WitnessError as error:
        return WitnessAnswer(failure=str(error))
    return WitnessAnswer()


async def _ask_witness(peer: FeedPeer, ip: str) -> WitnessAnswer:
    try:
        return WitnessAnswer(await fetch_record(peer, ip))
    except WitnessError as error:
        return WitnessAnswer(failure=str(error))


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
