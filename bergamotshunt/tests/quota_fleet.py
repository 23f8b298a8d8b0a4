"""A simulated fleet of daemons that share quotas, without a network.

It runs the decisions of quotas on simulated time. Datagrams are delayed, lost
and repeated; daemons are killed, suspended and cut off.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from bergamotshunt.decisions.quota_asks import (
    ANSWER_TIMEOUT_S,
    AskResult,
    AskSteps,
    QuotaAsker,
)
from bergamotshunt.decisions.quota_credits import (
    Demand,
    LocalCredits,
    count_to_ask,
)
from bergamotshunt.decisions.quota_grants import Credit, ShardRequest
from bergamotshunt.decisions.quota_ledger import QuotaLedger
from bergamotshunt.decisions.quota_ownership import Ownership
from bergamotshunt.decisions.quota_shards import group_by_zone
from bergamotshunt.mesh_messages import Member
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ClientAccount

MAX_WAIT_S = 0.08
TICK_S = 0.02
CONFIRMATION_INTERVAL_S = 0.5
# A lease of 5 s was renewed up to 1.7 s before; its entry is held for 3 s.
MIN_REMOVAL_S = 3.3 + 3.0
MAX_VIEW_LAG_S = 1.0

Action = Callable[[], object]


class Network(NamedTuple):
    """How datagrams travel.

    Attributes:
        delay_s: Time that a datagram takes.
        extra_delay_s: Largest further time.
        loss: Share that is lost.
        repeats: Share that arrives twice.
    """

    delay_s: float = 0.0005
    extra_delay_s: float = 0
    loss: float = 0
    repeats: float = 0


class Admitted(NamedTuple):
    """An admitted request.

    Attributes:
        at_s: Time of its admission.
        account: Name of the account.
        daemon: Daemon that admitted it.
        credit: Its token.
    """

    at_s: float
    account: str
    daemon: 'Daemon'
    credit: Credit


class Gate:
    """State of one account at a daemon, as ``QuotaGate`` keeps it."""

    def __init__(self) -> None:
        self.credits = LocalCredits()
        self.demand = Demand()
        self.waiting: list[float] = []
        self.is_asking = False


class Daemon:
    """One process of a daemon."""

    def __init__(
        self, fleet: 'Fleet', member: Member, *, first_start: bool
    ) -> None:
        self.fleet = fleet
        self.member = member
        self.alive = True
        self.suspended: list[Action] | None = None
        self.in_contact = True
        self.first_start = first_start
        zones = fleet.zones
        now_s = fleet.now_s
        self.ownership = Ownership(member.ip, now_s, is_first_start=first_start)
        self.ledger = QuotaLedger(self.ownership, zones, fleet.bounds)
        self.asker = QuotaAsker(
            member.ip, member.zone, zones, fleet.bounds, self.ownership, now_s
        )
        self.accounts: dict[str, ClientAccount] = {}
        self.gates: dict[str, Gate] = {}

    def run(self, action: Action) -> None:
        """Run an action of this process; later if it is suspended."""
        if self.suspended is not None:
            self.suspended.append(action)
        elif self.alive:
            action()

    def update_accounts(self, accounts: dict[str, ClientAccount]) -> None:
        self.accounts = accounts
        self.ledger.update_accounts(accounts, self.fleet.now_s)
        self.asker.update_accounts(accounts)

    def update_members(self, *, since_s: float | None = None) -> None:
        self.ownership.update(
            group_by_zone(self.fleet.members),
            self.fleet.now_s,
            own_since_s=since_s,
        )
        self.asker.handle_members_changed()

    def request(self, account: str) -> None:
        """Admit or refuse a client's request."""
        gate = self.gates.setdefault(account, Gate())
        now_s = self.fleet.now_s
        gate.demand = gate.demand.record(now_s)
        credit = None if gate.waiting else gate.credits.take(now_s)
        if credit is not None:
            self.fleet.admit(account, self, credit)
            return
        gate.waiting.append(now_s + MAX_WAIT_S)
        self.fleet.after(MAX_WAIT_S, lambda: self.run(self.give_up(account)))
        self.ask(account, gate)

    def ask(self, account: str, gate: Gate) -> None:
        if gate.is_asking:
            return
        gate.is_asking = True
        now_s = self.fleet.now_s
        needed = len(gate.waiting)
        wanted = count_to_ask(needed, gate.demand, now_s, self.fleet.bounds)
        self.run_steps(self.asker.start(account, needed, wanted, now_s))

    def give_up(self, account: str) -> Action:
        def action() -> None:
            gate = self.gates[account]
            late = [end for end in gate.waiting if end <= self.fleet.now_s]
            for _ in late:
                gate.waiting.pop(0)
                self.fleet.refuse(account)

        return action

    def run_steps(self, steps: AskSteps) -> None:
        if steps.reply is not None:
            self.apply(steps.reply)
        request = steps.request
        if request is None:
            return
        fleet = self.fleet
        if request.owner == self.member.ip:
            grant = self.ledger.grant(request, request.owner, fleet.now_s)
            self.run_steps(
                self.asker.handle_grant(
                    request.sequence, request.owner, grant, fleet.now_s
                )
            )
            return
        fleet.messages += 1
        fleet.send(
            self, request.owner, lambda owner: owner.answer(request, self)
        )
        sequence = request.sequence
        fleet.after(
            ANSWER_TIMEOUT_S,
            lambda: self.run(
                lambda: self.run_steps(
                    self.asker.handle_timeout(sequence, fleet.now_s)
                )
            ),
        )

    def answer(self, request: ShardRequest, sender: 'Daemon') -> None:
        fleet = self.fleet
        grant = self.ledger.grant(request, sender.member.ip, fleet.now_s)
        fleet.outcomes[grant.outcome] += 1
        owner = self.member.ip
        fleet.send(
            self,
            sender.member.ip,
            lambda asker: asker.run_steps(
                asker.asker.handle_grant(
                    request.sequence, owner, grant, fleet.now_s
                )
            ),
        )

    def apply(self, reply: AskResult) -> None:
        gate = self.gates[reply.account]
        gate.credits.add(reply.granted)
        while gate.waiting:
            credit = gate.credits.take(self.fleet.now_s)
            if credit is None:
                break
            gate.waiting.pop(0)
            self.fleet.admit(reply.account, self, credit)
        if reply.is_final:
            gate.is_asking = False
            if gate.waiting and reply.granted:
                self.ask(reply.account, gate)
            elif not reply.granted:
                self.fleet.retry_after_ms.append(reply.retry_after_ms)
                for _ in gate.waiting:
                    self.fleet.refuse(reply.account)
                gate.waiting.clear()

    def refund(self, credit: Credit) -> None:
        if self.fleet.now_s < credit.expiry_s:
            self.gates[credit.account].credits.add((credit,))
        elif credit.request is not None:
            request = credit.request
            holder = self.member.ip
            if request.owner == holder:
                self.ledger.take_back(
                    request, holder, credit.number, self.fleet.now_s
                )
                return
            self.fleet.send(
                self,
                request.owner,
                lambda owner: owner.ledger.take_back(
                    request, holder, credit.number, self.fleet.now_s
                ),
            )


class Fleet:
    """Daemons, the network between them, and the members by the store."""

    def __init__(
        self,
        zones: tuple[str, ...],
        accounts: dict[str, ClientAccount],
        seed: int = 1,
        bounds: Bounds = Bounds(),
    ) -> None:
        self.zones = zones
        self.bounds = bounds
        self.rng = Random(seed)
        self.now_s = 1000.0
        self.network = Network()
        self.members: frozenset[Member] = frozenset()
        self.daemons: dict[str, Daemon] = {}
        self.accounts = accounts
        self.cut: set[frozenset[str]] = set()
        self.admitted: dict[str, list[Admitted]] = {}
        self.refused: Counter[str] = Counter()
        self.requested: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.retry_after_ms: list[float] = []
        self.messages = 0
        self._events: list[tuple[float, int, Action]] = []
        self._number = 0
        self._joined_s_by_ip: dict[str, float] = {}
        self.after(0, self._confirm_all)

    # Time

    def after(self, delay_s: float, action: Action) -> None:
        self._number += 1
        heappush(self._events, (self.now_s + delay_s, self._number, action))

    def advance(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            at_s, _, action = heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            action()
        self.now_s = end_s

    # Network

    def send(
        self,
        sender: Daemon,
        ip: str,
        deliver: Callable[[Daemon], object],
    ) -> None:
        network, rng = self.network, self.rng
        if frozenset((sender.member.ip, ip)) in self.cut:
            return
        if network.loss and rng.random() < network.loss:
            return
        repeats = network.repeats and rng.random() < network.repeats
        for _ in range(2 if repeats else 1):
            delay_s = network.delay_s + rng.random() * network.extra_delay_s
            self.after(delay_s, lambda: self._deliver(ip, deliver))

    def _deliver(self, ip: str, deliver: Callable[[Daemon], object]) -> None:
        daemon = self.daemons.get(ip)
        if daemon is not None:
            daemon.run(lambda: deliver(daemon))

    def cut_between(self, ips: set[str], others: set[str]) -> None:
        self.cut.update(
            frozenset((ip, other)) for ip in ips for other in others
        )

    # Members

    def start(
        self,
        ip: str,
        zone: str,
        *,
        first_start: bool = False,
    ) -> Daemon:
        """Start a process; its host becomes a member unless it is one.

        Args:
            ip: Address of the host.
            zone: Its availability zone.
            first_start: Whether the whole fleet starts for the first time.
        """
        member = Member(ip, zone)
        # The record of an earlier process, which lapses with its entry.
        since_s = self._joined_s_by_ip.get(ip)
        daemon = Daemon(self, member, first_start=first_start)
        self.daemons[ip] = daemon
        daemon.update_accounts(self.accounts)
        self.change_members(self.members | {member})
        daemon.update_members(since_s=since_s)
        daemon.ledger.confirm(self.now_s)
        return daemon

    def kill(self, ip: str) -> None:
        self.daemons.pop(ip).alive = False

    def remove(self, ip: str) -> None:
        """End the membership of a host."""
        self.change_members(
            frozenset(member for member in self.members if member.ip != ip)
        )

    def change_members(self, members: frozenset[Member]) -> None:
        if members == self.members:
            return
        self.members = members
        self._joined_s_by_ip = {
            ip: self._joined_s_by_ip.get(ip, self.now_s) for ip, _ in members
        }
        for daemon in self.daemons.values():
            self._tell(daemon)

    def _tell(self, daemon: Daemon) -> None:
        lag_s = self.rng.random() * MAX_VIEW_LAG_S
        self.after(lag_s, lambda: self._update_view(daemon))

    def _update_view(self, daemon: Daemon) -> None:
        if daemon.in_contact:
            daemon.run(daemon.update_members)

    def restore_contact(self, daemon: Daemon) -> None:
        daemon.in_contact = True
        daemon.run(daemon.update_members)

    def suspend(self, ip: str) -> None:
        daemon = self.daemons[ip]
        daemon.suspended = []

    def resume(self, ip: str) -> None:
        daemon = self.daemons[ip]
        actions, daemon.suspended = daemon.suspended or [], None
        for action in actions:
            daemon.run(action)

    def change_accounts(
        self, accounts: dict[str, ClientAccount], spread_s: float
    ) -> None:
        """Bring a configuration into force within some time."""
        self.accounts = accounts
        for daemon in self.daemons.values():
            update = partial(daemon.update_accounts, accounts)
            self.after(
                self.rng.random() * spread_s, partial(daemon.run, update)
            )

    def _confirm_all(self) -> None:
        now_s = self.now_s
        for daemon in self.daemons.values():
            # A suspended process reads nothing.
            if daemon.in_contact and daemon.suspended is None:
                daemon.ledger.confirm(now_s)
        self.after(CONFIRMATION_INTERVAL_S, self._confirm_all)

    # Requests

    def request(self, ip: str, account: str) -> None:
        daemon = self.daemons.get(ip)
        if daemon is not None and daemon.suspended is None:
            self.requested[account] += 1
            daemon.request(account)

    def drive(
        self, duration_s: float, factor: float, ips: Sequence[str]
    ) -> None:
        """Send requests of all accounts to hosts in turn.

        Args:
            duration_s: For how long.
            factor: Requests per second by the rate of each account.
            ips: The hosts.
        """
        due_by_account = dict.fromkeys(self.accounts, 0.0)
        turn = 0
        for _ in range(round(duration_s / TICK_S)):
            for name, account in self.accounts.items():
                # One with a small rate sends more, to exceed its burst.
                rate_per_s = factor * max(account.rate_per_s, 5)
                due_by_account[name] += rate_per_s * TICK_S
                while due_by_account[name] >= 1:
                    due_by_account[name] -= 1
                    turn += 1
                    self.request(ips[turn % len(ips)], name)
            self.advance(TICK_S)

    def admit(self, account: str, daemon: Daemon, credit: Credit) -> None:
        self.admitted.setdefault(account, []).append(
            Admitted(self.now_s, account, daemon, credit)
        )

    def refuse(self, account: str) -> None:
        self.refused[account] += 1

    def reset_counts(self) -> None:
        self.refused.clear()
        self.requested.clear()
        self.outcomes.clear()
        self.messages = 0

    def refused_share(self) -> float:
        return self.refused.total() / max(self.requested.total(), 1)

    def largest_window(self, account: str, since_s: float = 0) -> int:
        """Return the most requests of an account admitted in a window."""
        times = [entry.at_s for entry in self.admitted.get(account, [])]
        return max(
            (
                index
                + 1
                - bisect_left(times, at_s - self.bounds.quota_window_s)
                for index, at_s in enumerate(times)
                if at_s - self.bounds.quota_window_s >= since_s
            ),
            default=0,
        )


def permitted(account: ClientAccount, bounds: Bounds = Bounds()) -> float:
    """Return the most requests that may run in a window."""
    limit = account.rate_per_s * bounds.quota_window_s + account.burst
    return limit * (1 + bounds.quota_overage) + bounds.quota_slack
