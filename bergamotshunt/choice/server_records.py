"""State of the backend servers that one daemon sends requests to."""

from collections import deque
from collections.abc import Callable, Collection
from math import exp, inf
from typing import Any, Final

from bergamotshunt.backend.loads import Load
from bergamotshunt.decisions.server_choice import ServerView
from bergamotshunt.decisions.server_subsets import choose_subsets
from bergamotshunt.decisions.work_meter import WorkMeter, effective_pace
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.routing import ServerEntry

MS_PER_S: Final = 1000
# A load report cannot count requests sent this shortly before it arrived.
REPORT_DELAY_S: Final = 0.003
# Weight of a new outcome in the share of failed requests, and the time
# constant with which that share decays.
FAULT_SMOOTHING: Final = 0.15
FAULT_DECAY_S: Final = 3.0
# A host that did not accept a connection gets no requests for this time,
# unless a load report of it arrives.
UNREACHABLE_RETRY_S: Final = 0.5
# Watchers are called when work on the server slows down by more than this
# factor from one load report to the next.
SLOWER_FACTOR: Final = 1.5


class ServerRecord:
    """A backend server, its last load report and the connections to it.

    Args:
        entry: Announcement of the server.
        zone: Availability zone of the daemon that sends the requests.
        cold_rate: Requests per second that the server bears while it is
            cold; 0 for no limit.

    Attributes:
        entry: Announcement of the server.
        pool: Connections to the daemon beside it.
        load: Last load report.
        running: Number of own requests without a response.
        watchers: Callbacks for when the server becomes slower.
    """

    def __init__(
        self, entry: ServerEntry, zone: str, cold_rate: float = 0
    ) -> None:
        """Create the record of a server without a load report."""
        self.entry = entry
        self.pool = ClientPool(entry.ip, entry.inbound_port)
        self.load = Load(
            limit=entry.slots,
            cold_ms=entry.cold_ms,
            start_rate=cold_rate if entry.cold_ms else 0,
        )
        self.running = 0
        self.watchers: set[Callable[[], None]] = set()
        self._meter = WorkMeter()
        self._is_same_zone = entry.zone == zone
        self._reported_at_s = inf
        self._sent_at_s: deque[float] = deque()
        self._fault_share: float = 0
        self._fault_share_at_s: float = 0
        self._unreachable_at_s = -inf

    def has_address_of(self, entry: ServerEntry) -> bool:
        """Return whether requests are sent to the address of an entry."""
        pool = self.pool
        return (pool.ip, pool.port) == (entry.ip, entry.inbound_port)

    def apply_report(self, load: Load, now_s: float) -> None:
        """Apply a load report."""
        is_slower = load.pace > self.load.pace * SLOWER_FACTOR
        self.load = load
        self._meter.change_pace(
            effective_pace(load.pace, load.cold_ms),
            now_s * MS_PER_S,
        )
        self._reported_at_s = now_s
        self._unreachable_at_s = -inf
        while self._sent_at_s and self._sent_at_s[0] < now_s - REPORT_DELAY_S:
            self._sent_at_s.popleft()
        if is_slower:
            for watcher in tuple(self.watchers):
                watcher()

    def work_meter_ms(self, now_s: float) -> float:
        """Return the reading of the work meter, in ms at the baseline pace.

        The difference of two readings is the work that a request can have
        done in between.
        """
        return self._meter.read(now_s * MS_PER_S)

    def record_start(self, now_s: float) -> None:
        """Record that an own request is sent."""
        self.running += 1
        self._sent_at_s.append(now_s)

    def record_end(self) -> None:
        """Record that an own request has ended."""
        self.running -= 1

    def record_result(self, now_s: float, *, failed: bool) -> None:
        """Record whether a request failed at the server."""
        share = self.fault_share(now_s)
        self._fault_share = share + (failed - share) * FAULT_SMOOTHING
        self._fault_share_at_s = now_s

    def record_unreachable(self, now_s: float) -> None:
        """Record that no connection could be opened."""
        self._unreachable_at_s = now_s

    def fault_share(self, now_s: float) -> float:
        """Return the smoothed share of failed requests."""
        age_s = now_s - self._fault_share_at_s
        return self._fault_share * exp(-age_s / FAULT_DECAY_S)

    def is_usable(self, now_s: float) -> bool:
        """Return whether the server may get a request."""
        return (
            not self.entry.is_leaving
            and now_s - self._unreachable_at_s > UNREACHABLE_RETRY_S
        )

    def view(self, now_s: float) -> ServerView:
        """Return the inputs for the choice of a server."""
        has_no_report = self._reported_at_s == inf
        return ServerView(
            instance=self.entry.instance,
            near=self._is_same_zone,
            load=self.load,
            age_ms=0
            if has_no_report
            else (now_s - self._reported_at_s) * MS_PER_S,
            unseen=len(self._sent_at_s),
            fault_share=self.fault_share(now_s),
        )


class ServerRecords:
    """All backend servers that a daemon may send requests to.

    Args:
        ip: Address of the daemon.
        zone: Availability zone of the daemon.

    Attributes:
        by_instance: Servers by instance id.
        evacuated_zones: Availability zones whose servers get no request.
        cold_rate_by_service: Requests per second that a cold server bears.
    """

    def __init__(self, ip: str, zone: str) -> None:
        """Create records without servers."""
        self.by_instance: dict[str, ServerRecord] = {}
        self._ip = ip
        self._zone = zone
        self._by_service: dict[str, list[ServerRecord]] = {}
        self._subset_by_service: dict[str, list[ServerRecord]] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.cold_rate_by_service: dict[str, float] = {}

    def replace(self, servers_by_instance: dict[str, ServerEntry]) -> None:
        """Replace the known servers.

        The record of a server is kept unless its address has changed.
        """
        for instance in self.by_instance.keys() - servers_by_instance.keys():
            self.by_instance.pop(instance).pool.close()
        for entry in servers_by_instance.values():
            known = self.by_instance.get(entry.instance)
            if known is not None and known.has_address_of(entry):
                known.entry = entry
                continue
            if known is not None:
                known.pool.close()
            cold_rate = self.cold_rate_by_service.get(entry.service, 0)
            self.by_instance[entry.instance] = ServerRecord(
                entry, self._zone, cold_rate
            )
        self._by_service = {}
        for record in self.by_instance.values():
            self._by_service.setdefault(record.entry.service, []).append(
                record,
            )
        subsets = choose_subsets(
            servers_by_instance.values(), self._ip, self._zone
        )
        self._subset_by_service = {
            service: [self.by_instance[server.instance] for server in servers]
            for service, servers in subsets.items()
        }

    def views(
        self,
        service: str,
        tried: Collection[str],
        now_s: float,
    ) -> list[ServerView]:
        """Return the usable servers of a service that were not tried.

        These are the servers of this daemon's subset, or all of them when
        none of the subset accepts requests.
        """
        for records in (
            self._subset_by_service.get(service, ()),
            self._by_service.get(service, ()),
        ):
            views = [
                record.view(now_s)
                for record in records
                if record.entry.instance not in tried
                and self._is_usable(record, now_s)
            ]
            if any(view.load.serving for view in views):
                break
        return views

    def describe(self, now_s: float) -> list[dict[str, Any]]:
        """Describe the state of each server, with the age of its report."""
        return [
            record.view(now_s)._asdict()
            | {
                'service': record.entry.service,
                'ip': record.entry.ip,
                'state': record.entry.state.value,
                'load': record.load._asdict(),
                'running': record.running,
                'usable': self._is_usable(record, now_s),
            }
            for record in self.by_instance.values()
        ]

    def close(self) -> None:
        """Close all connections."""
        for record in self.by_instance.values():
            record.pool.close()

    def _is_usable(self, record: ServerRecord, now_s: float) -> bool:
        is_evacuated = record.entry.zone in self.evacuated_zones
        return not is_evacuated and record.is_usable(now_s)
