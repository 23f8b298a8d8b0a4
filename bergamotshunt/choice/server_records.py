"""What one daemon knows of the backend servers that it sends to."""

from collections import deque
from collections.abc import Callable, Collection
from math import exp, inf
from typing import Any, Final

from bergamotshunt.backend.loads import Load
from bergamotshunt.decisions.placement import ServerView
from bergamotshunt.decisions.work_clock import WorkClock, effective_pace
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.routing import ServerEntry, ServerState

MS_PER_S: Final = 1000
# A report cannot contain what was sent this shortly before it came.
UNSEEN_S: Final = 0.003
FAULT_WEIGHT: Final = 0.15
FAULT_MEMORY_S: Final = 3.0
# A host that did not accept a connection is not asked again for this time
# unless it is heard.
UNREACHABLE_S: Final = 0.5
SLOWER_FACTOR: Final = 1.5


class ServerRecord:
    """A backend server, its last report and the connections to it.

    Attributes:
        entry: What the server announced.
        pool: Connections to the daemon beside it.
        load: Last load report.
        running: Own requests that have no response yet.
        watchers: Called when the server turns slower.
    """

    def __init__(self, entry: ServerEntry, zone: str) -> None:
        """Create the record of a server that was not heard yet."""
        self.entry = entry
        self.pool = ClientPool(entry.ip, entry.inbound_port)
        self.load = Load(limit=entry.slots, cold_ms=entry.cold_ms)
        self.running = 0
        self.watchers: set[Callable[[], None]] = set()
        self._clock = WorkClock()
        self._near = entry.zone == zone
        self._heard_s = inf
        self._sent_s: deque[float] = deque()
        self._fault_share: float = 0
        self._fault_s: float = 0
        self._unreachable_s = -inf

    def note_load(self, load: Load, now_s: float) -> None:
        """Note a report."""
        is_slower = load.pace > self.load.pace * SLOWER_FACTOR
        self.load = load
        self._clock.go_on(
            effective_pace(load.pace, load.cold_ms),
            now_s * MS_PER_S,
        )
        self._heard_s = now_s
        self._unreachable_s = -inf
        while self._sent_s and self._sent_s[0] < now_s - UNSEEN_S:
            self._sent_s.popleft()
        if is_slower:
            for watcher in tuple(self.watchers):
                watcher()

    def worked_ms(self, now_s: float) -> float:
        """Return the work that a request could have had done so far."""
        return self._clock.read(now_s * MS_PER_S)

    def note_sent(self, now_s: float) -> None:
        """Note an own request."""
        self.running += 1
        self._sent_s.append(now_s)

    def note_end(self) -> None:
        """Note that an own request has ended."""
        self.running -= 1

    def note_result(self, now_s: float, *, failed: bool) -> None:
        """Note whether a request failed at the server."""
        share = self.fault_share(now_s)
        self._fault_share = share + (failed - share) * FAULT_WEIGHT
        self._fault_s = now_s

    def note_unreachable(self, now_s: float) -> None:
        """Note that no connection could be made."""
        self._unreachable_s = now_s

    def fault_share(self, now_s: float) -> float:
        """Return the smoothed share of failed requests."""
        age_s = now_s - self._fault_s
        return self._fault_share * exp(-age_s / FAULT_MEMORY_S)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the server may get a request."""
        return (
            self.entry.state is ServerState.READY
            and now_s - self._unreachable_s > UNREACHABLE_S
        )

    def view(self, now_s: float) -> ServerView:
        """Return what a chooser needs to know."""
        unheard = self._heard_s == inf
        return ServerView(
            instance=self.entry.instance,
            near=self._near,
            load=self.load,
            age_ms=0 if unheard else (now_s - self._heard_s) * MS_PER_S,
            unseen=len(self._sent_s),
            fault_share=self.fault_share(now_s),
        )


class ServerRecords:
    """All backend servers that a daemon may send to.

    Args:
        zone: Availability zone of the daemon.
    """

    def __init__(self, zone: str) -> None:
        """Create records without servers."""
        self.by_instance: dict[str, ServerRecord] = {}
        self._zone = zone
        self._by_service: dict[str, list[ServerRecord]] = {}

    def replace(self, servers_by_instance: dict[str, ServerEntry]) -> None:
        """Take over the servers that are known now."""
        for instance in self.by_instance.keys() - servers_by_instance.keys():
            self.by_instance.pop(instance).pool.close()
        for entry in servers_by_instance.values():
            known = self.by_instance.get(entry.instance)
            if known is None or known.entry.ip != entry.ip:
                self.by_instance[entry.instance] = ServerRecord(
                    entry,
                    self._zone,
                )
            else:
                known.entry = entry
        self._by_service = {}
        for record in self.by_instance.values():
            self._by_service.setdefault(record.entry.service, []).append(
                record,
            )

    def views(
        self,
        service: str,
        tried: Collection[str],
        now_s: float,
    ) -> list[ServerView]:
        """Return the servers of a service that a request may still go to."""
        return [
            record.view(now_s)
            for record in self._by_service.get(service, ())
            if record.entry.instance not in tried and record.is_usable(now_s)
        ]

    def describe(self, now_s: float) -> list[dict[str, Any]]:
        """Return what is believed of each server, with the age of it."""
        return [
            record.view(now_s)._asdict()
            | {
                'service': record.entry.service,
                'ip': record.entry.ip,
                'state': record.entry.state.value,
                'load': record.load._asdict(),
                'running': record.running,
                'usable': record.is_usable(now_s),
            }
            for record in self.by_instance.values()
        ]

    def close(self) -> None:
        """Close all connections."""
        for record in self.by_instance.values():
            record.pool.close()
