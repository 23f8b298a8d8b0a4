"""What a daemon knows of the backend server on its host."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bergamotshunt.backend.loads import Load
from bergamotshunt.backend.slot_turns import Refusal, RefusedError, SlotTurns
from bergamotshunt.decisions.slot_limit import (
    SATURATED_SHARE,
    RunSample,
    SlotLimitEstimator,
)
from bergamotshunt.decisions.server_work import ServerWorkEstimator
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.routing import ServerEntry, ServerState

# A run was calm if its time and its work differ by less than this share.
CALM_TOLERANCE: Final = 0.05


class RunBegin(NamedTuple):
    """A request that went to the server.

    Attributes:
        call: What its sender says of it.
        at_ms: Monotonic time.
        worked_ms: Reading of the server's work clock.
        running: Requests that ran then, with this one.
    """

    call: PeerCall
    at_ms: float
    worked_ms: float
    running: int


class RunLength(NamedTuple):
    """How long a request took until the head of its response.

    Attributes:
        took_ms: Time.
        work_ms: The same at the usual pace of the server.
        crowded: Whether nearly all slots were taken meanwhile.
    """

    took_ms: float
    work_ms: float
    crowded: bool


class OwnServer:
    """The backend server, its slots and its pace.

    Args:
        now_ms: Returns the monotonic time.
        note_change: Called when the load of the server changed.

    Attributes:
        entry: What it announced last; None before.
        down: Whether it accepts no connection.
        stopping: Whether this daemon is about to stop.
        turns: Its slots and who waits for one.
        gauge: Usual work of its requests, and its pace.
        now_ms: Returns the monotonic time.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        note_change: Callable[[], None],
    ) -> None:
        """Create a server that is not known yet."""
        self.entry: ServerEntry | None = None
        self.down = False
        self.stopping = False
        self.turns = SlotTurns(now_ms, self.expected_ms, note_change)
        self.gauge = ServerWorkEstimator()
        self._knee = SlotLimitEstimator()
        self.now_ms = now_ms

    def announce(self, entry: ServerEntry) -> bool:
        """Take over an announcement.

        Returns:
            Whether a new lifetime of the server begins.
        """
        known = self.entry
        is_new = known is None or known.instance != entry.instance
        if is_new:
            self.gauge = ServerWorkEstimator()
            self.down = False
        self.entry = entry
        self.gauge.cold_until_ms = self.now_ms() + entry.cold_ms
        self._set_limit(entry)
        if entry.state is ServerState.LEAVING:
            self.turns.refuse_all('leaving')
        return is_new

    def mark_down(self) -> None:
        """Refuse all requests until the server is up again."""
        self.down = True
        self.turns.refuse_all('server-down')

    @property
    def slot_share(self) -> float:
        """Share of the slots that is worth taking; 0 when unknown."""
        return self._knee.share

    def note_earlier(self, entry: ServerEntry) -> None:
        """Take over what an earlier process of this daemon learned."""
        known = self.entry
        if known is None or known.service == entry.service:
            self._knee.restore_share(entry.slot_share, self.now_ms())
        if known is not None:
            self._set_limit(known)

    def check(self, call: PeerCall) -> None:
        """Check whether the server may run a request.

        Raises:
            RefusedError: It may not.
        """
        entry = self.entry
        if entry is None or entry.instance != call.instance:
            raise RefusedError(Refusal('other-instance'))
        if entry.state is ServerState.LEAVING:
            raise RefusedError(Refusal('leaving'))
        if self.down:
            raise RefusedError(Refusal('server-down'))

    def expected_ms(self) -> float:
        """Return the expected time of a usual request that begins now."""
        return self.gauge.expected_ms(self.now_ms())

    def load(self) -> Load:
        """Return what peers need to know to choose."""
        entry = self.entry
        if entry is None:
            return Load(serving=False)
        now_ms = self.now_ms()
        able = not (self.down or self.stopping)
        return Load(
            running=self.turns.running,
            waiting=self.turns.waiting,
            limit=self.turns.limit,
            pace=round(self.gauge.pace, 2),
            work_ms=round(self.gauge.typical_ms, 1),
            cold_ms=self.gauge.cold_ms(now_ms),
            serving=able and entry.state is ServerState.READY,
            outlook=self.gauge.phase_estimator.forecast(now_ms),
        )

    def begin_run(self, call: PeerCall) -> RunBegin:
        """Note that a request goes to the server now."""
        now_ms = self.now_ms()
        worked_ms = self.gauge.done_work_ms(now_ms)
        return RunBegin(call, now_ms, worked_ms, self.turns.running)

    def end_run(
        self,
        begin: RunBegin,
        pace: float | None,
        *,
        called: bool,
    ) -> RunLength:
        """Learn from the end of a run.

        Args:
            begin: Its begin.
            pace: Pace that the response told; None when it did not.
            called: Whether it called other services, whose time is in it.
        """
        now_ms = self.now_ms()
        took_ms = now_ms - begin.at_ms
        work_ms = self.gauge.done_work_ms(now_ms) - begin.worked_ms
        self.gauge.record_response(work_ms, pace, now_ms)
        slots_share = self._slots_share(begin)
        if not called and abs(took_ms - work_ms) <= took_ms * CALM_TOLERANCE:
            self._note_calm_run(begin, slots_share, work_ms)
        return RunLength(took_ms, work_ms, slots_share >= SATURATED_SHARE)

    def _slots_share(self, begin: RunBegin) -> float:
        slots = self.entry.slots if self.entry else 0
        return (begin.running + self.turns.running) / 2 / max(slots, 1)

    def _note_calm_run(
        self,
        begin: RunBegin,
        slots_share: float,
        work_ms: float,
    ) -> None:
        entry, usual_ms = self.entry, begin.call.work_ms
        if entry is None or not usual_ms or self.gauge.cold_ms(begin.at_ms):
            return
        run = RunSample(slots_share, work_ms / usual_ms)
        self._knee.record(run, self.now_ms())
        self._set_limit(entry)

    def _set_limit(self, entry: ServerEntry) -> None:
        self.turns.limit = self._knee.limit(entry.slots, self.now_ms())
