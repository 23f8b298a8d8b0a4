"""State of the backend server on the same host as the daemon."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bergamotshunt.backend.check_places import CheckPlace
from bergamotshunt.backend.cold_start_gate import ColdStartGate
from bergamotshunt.backend.loads import Load
from bergamotshunt.backend.slot_queue import Refusal, RefusedError, SlotQueue
from bergamotshunt.backend.start_gates import StartGate
from bergamotshunt.decisions.health_checks import (
    DOWN_INTERVAL_MS,
    MIN_INTERVAL_MS,
    CheckedServer,
    check_interval_ms,
)
from bergamotshunt.decisions.server_slots import ServerState
from bergamotshunt.decisions.server_work import ServerWorkEstimator
from bergamotshunt.decisions.slot_limit import (
    SATURATED_SHARE,
    RunSample,
    SlotLimitEstimator,
)
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.platform.requests import ServerResponseInfo
from bergamotshunt.routing import ServerEntry

# A run was at the baseline pace if its duration and its work differ by less
# than this share.
BASELINE_PACE_TOLERANCE: Final = 0.05
DEFAULT_BOUNDS: Final = Bounds()


class RunStart(NamedTuple):
    """A request that was sent to the server.

    Attributes:
        call: Metadata of the request, from the peer that sent it.
        at_ms: Monotonic time in milliseconds.
        start_work_ms: Reading of the server's work meter then, in
            milliseconds at the baseline pace.
        running: Requests in flight then, including this one.
    """

    call: PeerCall
    at_ms: float
    start_work_ms: float
    running: int


class RunDuration(NamedTuple):
    """Duration of a request until the head of its response.

    Attributes:
        took_ms: Duration in milliseconds.
        work_ms: Duration at the baseline pace, in milliseconds.
        saturated: Whether nearly all slots were in use meanwhile.
    """

    took_ms: float
    work_ms: float
    saturated: bool


class OwnServer:
    """State of the local backend server: its slots, load and pace.

    Args:
        now_ms: Returns the monotonic time in milliseconds.
        on_change: Called when the load of the server has changed.
        bounds: Limits that the platform sets for the daemon.

    Attributes:
        entry: Last announcement of the server; None before the first.
        down: Whether the server accepts no connections.
        stopping: Whether this daemon is about to stop.
        evacuated: Whether the server's zone is evacuated.
        used_ms: Monotonic time of the last sign that requests are sent to
            the server or to its service, in milliseconds.
        cold_starts: Limits the requests to the server while it is cold.
        check_place: Place of the health check in flight.
        slot_queue: Slots of the server and the requests that wait for one.
        work_estimator: Estimates typical work of a request and the pace.
        now_ms: Returns the monotonic time in milliseconds.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        on_change: Callable[[], None],
        bounds: Bounds = DEFAULT_BOUNDS,
    ) -> None:
        """Create the state of a server that has not announced itself."""
        self.entry: ServerEntry | None = None
        self.down = False
        self.stopping = False
        self.evacuated = False
        self.now_ms = now_ms
        self.used_ms = now_ms()
        self.cold_starts = ColdStartGate(now_ms, bounds)
        self.check_place = CheckPlace(now_ms)
        self.slot_queue = SlotQueue(
            now_ms,
            self._state_for_slots,
            self._handle_queue_change,
            StartGate(self._start_wait_ms, self.cold_starts.record_start),
        )
        self.work_estimator = ServerWorkEstimator()
        self._slot_limit_estimator = SlotLimitEstimator()
        self._on_change = on_change

    def apply_announcement(self, entry: ServerEntry) -> bool:
        """Apply an announcement of the server.

        Returns:
            Whether it is of another instance than the previous one.
        """
        previous = self.entry
        is_new = previous is None or previous.instance != entry.instance
        now_ms = self.now_ms()
        if is_new:
            self.work_estimator = ServerWorkEstimator()
            self.down = False
            self.used_ms = now_ms
            self.check_place.is_strict = self.cold_starts.has_limit
        self.entry = entry
        self.work_estimator.cold_until_ms = now_ms + entry.cold_ms
        self.cold_starts.apply_announcement(entry, is_new=is_new)
        self._update_cold_time()
        self._set_limit(entry)
        if entry.is_leaving:
            self.slot_queue.refuse_all('leaving')
        return is_new

    def update_cold_rate(self, rate: float) -> None:
        """Apply the cold rate of the service; 0 if the operator gives none."""
        self.cold_starts.update_rate(rate)
        if rate:
            self.check_place.is_strict = True
        self._update_cold_time()
        self.slot_queue.grant_free_slots()

    def record_check(self, info: ServerResponseInfo, sent_ms: float) -> None:
        """Record the response to a health check.

        Args:
            info: Data of the response.
            sent_ms: Monotonic time at which the check was sent, in
                milliseconds.
        """
        self.cold_starts.record_check(info.cold_ms, sent_ms)
        self._update_cold_time()
        self.work_estimator.record_pace(info.pace, self.now_ms())
        self.slot_queue.grant_free_slots()

    def end_check(self, *, is_answered: bool) -> None:
        """Record the end of a health check; its place is free again."""
        self.check_place.end(
            is_answered=is_answered, is_full=self._free_slots() <= 0
        )
        self.slot_queue.grant_free_slots()

    def apply_evacuation(self, *, evacuated: bool) -> None:
        """Refuse all requests that have not started, or accept them again."""
        self.evacuated = evacuated
        if evacuated:
            self.slot_queue.refuse_all('evacuated')

    def unused_ms(self) -> float:
        """Return the time since requests were last sent or expected.

        A server that is not known yet or still cold counts as in use.
        """
        is_in_use = self.slot_queue.running or self.slot_queue.waiting
        if is_in_use or self.entry is None or self.cold_starts.rate():
            return 0
        return self.now_ms() - self.used_ms

    def check_interval_ms(self) -> float:
        """Return the time until the next health check."""
        if self.down:
            return DOWN_INTERVAL_MS
        if self.cold_starts.needs_check:
            return MIN_INTERVAL_MS
        phase_estimator = self.work_estimator.phase_estimator
        return check_interval_ms(
            phase_estimator.probe_delay_ms(self.now_ms()), self.unused_ms()
        )

    def checked_server(self, checked_ms: float) -> CheckedServer:
        """Return the state that decides whether a check is due.

        Args:
            checked_ms: Monotonic time of the last check, in milliseconds.
        """
        now_ms = self.now_ms()
        return CheckedServer(
            in_flight=self.slot_queue.running,
            slots=self.entry.slots if self.entry else 0,
            down=self.down,
            pace_age_ms=now_ms - self.work_estimator.reported_ms,
            checked_age_ms=now_ms - checked_ms,
            needed=self.cold_starts.needs_check,
            answers_when_full=not self.check_place.is_strict,
        )

    def mark_down(self) -> None:
        """Mark the server as down and refuse all waiting requests."""
        self.down = True
        self.slot_queue.refuse_all('server-down')

    @property
    def slot_share(self) -> float:
        """Estimated share of the slots to use; 0 when unknown."""
        return self._slot_limit_estimator.share

    def restore_slot_share(self, entry: ServerEntry) -> None:
        """Restore the slot share that an earlier process estimated."""
        previous = self.entry
        if previous is None or previous.service == entry.service:
            self._slot_limit_estimator.restore_share(
                entry.slot_share, self.now_ms()
            )
        if previous is not None:
            self._set_limit(previous)

    def check_acceptance(self, call: PeerCall) -> None:
        """Check whether the server accepts a request.

        Raises:
            RefusedError: It does not.
        """
        reason = self._refusal_reason(call)
        if reason:
            raise RefusedError(Refusal(reason))

    def expected_run_ms(self) -> float:
        """Return the expected duration of a typical request, in ms."""
        return self.work_estimator.expected_run_ms(self.now_ms())

    def load(self) -> Load:
        """Return the load for load reports to peers."""
        entry = self.entry
        if entry is None:
            return Load(serving=False)
        now_ms = self.now_ms()
        is_up = not (self.down or self.stopping or self.evacuated)
        return Load(
            running=self.slot_queue.running,
            waiting=self.slot_queue.waiting,
            limit=self.slot_queue.limit,
            pace=round(self.work_estimator.pace, 2),
            work_ms=round(self.work_estimator.typical_work_ms, 1),
            cold_ms=self.work_estimator.cold_ms(now_ms),
            serving=is_up and not entry.is_leaving,
            outlook=self.work_estimator.phase_estimator.forecast(now_ms),
            start_rate=self.cold_starts.rate(),
            start_delay_ms=self.cold_starts.start_delay_ms(),
        )

    def start_run(self, call: PeerCall) -> RunStart:
        """Record that a request is sent to the server now."""
        now_ms = self.now_ms()
        start_work_ms = self.work_estimator.work_meter_ms(now_ms)
        return RunStart(call, now_ms, start_work_ms, self.slot_queue.running)

    def end_run(
        self,
        start: RunStart,
        pace: float | None,
        *,
        called: bool,
    ) -> RunDuration:
        """Update the estimates with a completed request.

        Args:
            start: The start of the request.
            pace: Pace stated in the response; None when missing.
            called: Whether the request called other services; its
                duration includes theirs.
        """
        now_ms = self.now_ms()
        took_ms = now_ms - start.at_ms
        work_ms = (
            self.work_estimator.work_meter_ms(now_ms) - start.start_work_ms
        )
        self.work_estimator.record_response(work_ms, pace, now_ms)
        occupancy = self._mean_occupancy(start)
        if (
            not called
            and abs(took_ms - work_ms) <= took_ms * BASELINE_PACE_TOLERANCE
        ):
            self._record_baseline_run(start, occupancy, work_ms)
        return RunDuration(took_ms, work_ms, occupancy >= SATURATED_SHARE)

    def _state_for_slots(self, limit: int) -> ServerState:
        typical_work_ms = self.work_estimator.typical_work_ms
        return ServerState(
            now_ms=self.now_ms(),
            limit=limit,
            typical_work_ms=typical_work_ms,
            slowdown=self.expected_run_ms() / max(typical_work_ms, 1),
        )

    def _mean_occupancy(self, start: RunStart) -> float:
        """Return the mean share of slots in use at start and end of a run."""
        slots = self.entry.slots if self.entry else 0
        return (start.running + self.slot_queue.running) / 2 / max(slots, 1)

    def _record_baseline_run(
        self,
        start: RunStart,
        occupancy: float,
        work_ms: float,
    ) -> None:
        entry, typical_work_ms = self.entry, start.call.work_ms
        if (
            entry is None
            or not typical_work_ms
            or self.work_estimator.cold_ms(start.at_ms)
        ):
            return
        run = RunSample(occupancy, work_ms / typical_work_ms)
        self._slot_limit_estimator.record(run, self.now_ms())
        self._set_limit(entry)

    def _refusal_reason(self, call: PeerCall) -> str:
        entry = self.entry
        if entry is None or entry.instance != call.instance:
            return 'other-instance'
        if entry.is_leaving:
            return 'leaving'
        if self.evacuated:
            return 'evacuated'
        return 'server-down' if self.down else ''

    def _free_slots(self) -> int:
        slots = self.entry.slots if self.entry else 0
        return slots - self.slot_queue.running

    def _start_wait_ms(self, ahead: int) -> float:
        return max(
            self.cold_starts.wait_ms(ahead),
            self.check_place.wait_ms(self._free_slots()),
        )

    def _handle_queue_change(self) -> None:
        self.used_ms = self.now_ms()
        self._on_change()

    def _update_cold_time(self) -> None:
        """Expect slow runs while health checks state that it is cold."""
        if self.cold_starts.has_limit:
            self.work_estimator.cold_until_ms = self.cold_starts.cold_until_ms

    def _set_limit(self, entry: ServerEntry) -> None:
        self.slot_queue.limit = self._slot_limit_estimator.limit(
            entry.slots, self.now_ms()
        )
