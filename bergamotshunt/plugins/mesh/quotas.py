"""Quotas: asks owners for tokens, and grants those of the shards it owns."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop, sleep
from typing import Any, Final

from bergamotshunt.decisions.quota_asks import (
    ANSWER_TIMEOUT_S,
    AskResult,
    AskSteps,
    QuotaAsker,
)
from bergamotshunt.decisions.quota_buckets import window_limit
from bergamotshunt.decisions.quota_grants import (
    Grant,
    GrantOutcome,
    ShardKey,
    ShardRequest,
)
from bergamotshunt.decisions.quota_ledger import QuotaLedger
from bergamotshunt.decisions.quota_ownership import Ownership
from bergamotshunt.decisions.quota_shards import group_by_zone
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_error, log_event
from bergamotshunt.mesh_messages import (
    ConfigurationConfirmed,
    DescribeState,
    MembersChanged,
    OwnServerChanged,
    RoutingChanged,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.peers.quota_messages import (
    QuotaDatagram,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
    decode_quota_datagram,
    encode_quota_datagram,
)
from bergamotshunt.quota_task_messages import (
    QuotaGranted,
    QuotaNeeded,
    QuotaReturned,
)
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.request_log import RequestLog
from bergamotshunt.routing import ClientAccount, Routing

BIND_RETRY_S: Final = 1.0


class QuotasTask(MeshTask):
    """Owns the socket for quotas, the owned buckets and the pending requests.

    Without an account that has a quota, it opens no socket.
    """

    name = 'quotas'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task; the first quota opens the socket."""
        super().__init__(context)
        mesh = self.mesh
        zones = mesh.zones or (mesh.zone,)
        started_s = context.boot_clock()
        self._ownership = Ownership(
            mesh.ip, started_s, is_first_start=mesh.is_first_start
        )
        self._ledger = QuotaLedger(self._ownership, zones, mesh.bounds)
        self._asker = QuotaAsker(
            mesh.ip, mesh.zone, zones, mesh.bounds, self._ownership, started_s
        )
        self._rejected = RejectedInputLog(context.clock, self.metrics)
        self._log = RequestLog(context.clock)
        self._transport: DatagramTransport | None = None
        self._opening = False
        self._version = 0
        self._account_by_name: dict[str, ClientAccount] = {}

    async def close(self) -> None:
        """Close the socket."""
        await super().close()
        if self._transport is not None:
            self._transport.close()

    @handlers.on(RoutingChanged)
    def update_routing(self, message: RoutingChanged) -> None:
        """Apply the quotas of a newer configuration."""
        routing = message.routing
        self._version = routing.version
        self._account_by_name = _accounts_with_quota(routing)
        now_s = self.context.boot_clock()
        self._ledger.update_accounts(self._account_by_name, now_s)
        self._asker.update_accounts(self._account_by_name)
        if self._account_by_name and not self._opening:
            self._opening = True
            self.spawn_loop(self._open_socket)

    @handlers.on(ConfigurationConfirmed)
    def handle_confirmation(self, message: ConfigurationConfirmed) -> None:
        """Record that this daemon is in contact."""
        self._ledger.confirm(message.confirmed_s)

    @handlers.on(MembersChanged)
    def update_members(self, message: MembersChanged) -> None:
        """Derive the owners of all shards anew."""
        changed = self._ownership.update(
            group_by_zone(message.members),
            self.context.boot_clock(),
            own_since_s=message.own_since_s,
        )
        self._asker.handle_members_changed()
        if self._account_by_name and changed:
            log_event(
                'quotas:owner-changed',
                members=len(message.members),
                grants_after_s=self._ownership.delay_s,
            )

    @handlers.on(OwnServerChanged)
    def handle_own_server(self, message: OwnServerChanged) -> None:
        """Stop to own shards at once when the server leaves."""
        now_s = self.context.boot_clock()
        leaving = message.entry.is_leaving
        self._ownership.update_leaving(now_s, leaving=leaving)

    @handlers.on(QuotaNeeded)
    def handle_needed(self, message: QuotaNeeded) -> None:
        """Ask the owners for tokens."""
        account, needed, wanted = message
        self._run_steps(
            self._asker.start(
                account, needed, wanted, self.context.boot_clock()
            )
        )

    @handlers.on(QuotaReturned)
    def handle_returned(self, message: QuotaReturned) -> None:
        """Give a token back to the owner that granted it."""
        request, number = message.credit.request, message.credit.number
        if request is None:
            return
        if request.owner == self.mesh.ip:
            self._take_back(request, self.mesh.ip, number)
            return
        account, index = request.key
        returned = QuotaReturn(request.sequence, account, index, number)
        self._send(QuotaDatagram(returned=returned), request.owner)

    def update_gauges(self) -> None:
        """Update the gauge of the age of the confirmation."""
        if self._account_by_name:
            now_s = self.context.boot_clock()
            self.metrics.set_gauge(
                'quota_confirmation_age_seconds',
                self._ledger.confirmation_age_s(now_s),
            )

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return the owners of the shards, and the tokens of the owned ones."""
        if not self._account_by_name:
            return {}
        now_s = self.context.boot_clock()
        return {
            'quotas': {
                'owned': self._ledger.describe(now_s),
                'confirmation_age_s': _rounded(
                    self._ledger.confirmation_age_s(now_s)
                ),
                'socket_open': self._transport is not None,
                **self._asker.describe(now_s),
            },
        }

    def receive(self, content: bytes, ip: str) -> None:
        """Process a datagram of another daemon; log it when it is unusable."""
        self.metrics.increment('quota_datagrams_received')
        with self._rejected.contain('quotas:datagram-unreadable', ip):
            datagram = decode_quota_datagram(content)
            if datagram.request is not None:
                self._answer(datagram.request, ip)
            if datagram.grant is not None:
                self._handle_grant(datagram.grant, ip)
            if datagram.returned is not None:
                returned = datagram.returned
                key = ShardKey(returned.account, returned.shard)
                request = ShardRequest(returned.sequence, key, 1, self.mesh.ip)
                self._take_back(request, ip, returned.number)

    # Socket

    async def _open_socket(self) -> None:
        while self._transport is None:
            try:
                self._transport = await self._bind()
            except OSError as error:
                self.metrics.increment('quota_bind_failures')
                log_error(
                    'quotas:bind-failed', error, port=self.mesh.quota_port
                )
            await sleep(BIND_RETRY_S)
        # The socket stays open until the task closes.
        await get_running_loop().create_future()

    async def _bind(self) -> DatagramTransport:
        transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: QuotasProtocol(self),
            (self.mesh.ip, self.mesh.quota_port),
        )
        return transport

    def _send(self, datagram: QuotaDatagram, ip: str) -> None:
        if self._transport is not None:
            self.metrics.increment('quota_datagrams_sent')
            with self._rejected.contain('quotas:address-unusable', ip):
                self._transport.sendto(
                    encode_quota_datagram(datagram),
                    (ip, self.mesh.quota_port),
                )

    # Owner

    def _answer(self, request: QuotaRequest, ip: str) -> None:
        key = ShardKey(request.account, request.shard)
        grant = self._grant(
            ShardRequest(request.sequence, key, request.tokens, self.mesh.ip),
            ip,
        )
        self._send(
            QuotaDatagram(
                grant=QuotaGrant(
                    request.sequence,
                    request.account,
                    request.shard,
                    grant.tokens,
                    round(grant.retry_after_ms),
                    grant.outcome,
                )
            ),
            ip,
        )

    def _grant(self, request: ShardRequest, holder: str) -> Grant:
        now_s = self.context.boot_clock()
        grant = self._ledger.grant(request, holder, now_s)
        self.metrics.increment('quota_grants', outcome=grant.outcome.value)
        if grant.outcome is not GrantOutcome.GRANTED:
            self._log_refusal(request, holder, grant)
        return grant

    def _log_refusal(
        self, request: ShardRequest, holder: str, grant: Grant
    ) -> None:
        account = self._account_by_name.get(request.key.account)
        limit = window_limit(account, self.mesh.bounds) if account else None
        age_s = self._ledger.confirmation_age_s(self.context.boot_clock())
        self._log.write(
            'quotas:refused',
            failed=True,
            account=request.key.account,
            shard=request.key.shard,
            daemon=holder,
            outcome=grant.outcome.value,
            tokens=round(self._ledger.tokens(request.key), 2),
            limit=limit,
            retry_after_ms=round(grant.retry_after_ms),
            confirmation_age_s=_rounded(age_s),
            version=self._version,
        )

    def _take_back(self, request: ShardRequest, ip: str, number: int) -> None:
        now_s = self.context.boot_clock()
        is_added = self._ledger.take_back(request, ip, number, now_s)
        self.metrics.increment('quota_returns', added=str(is_added).lower())

    # Asker

    def _handle_grant(self, grant: QuotaGrant, ip: str) -> None:
        self._run_steps(
            self._asker.handle_grant(
                grant.sequence,
                ip,
                Grant(grant.outcome, grant.tokens, grant.retry_after_ms),
                self.context.boot_clock(),
            )
        )

    def _handle_timeout(self, sequence: int) -> None:
        now_s = self.context.boot_clock()
        self._run_steps(self._asker.handle_timeout(sequence, now_s))

    def _run_steps(self, steps: AskSteps) -> None:
        if steps.reply is not None:
            self._publish(steps.reply)
        request = steps.request
        if request is None:
            return
        if request.owner == self.mesh.ip:
            grant = self._grant(request, self.mesh.ip)
            now_s = self.context.boot_clock()
            self._run_steps(
                self._asker.handle_grant(
                    request.sequence, request.owner, grant, now_s
                )
            )
            return
        account, index = request.key
        message = QuotaRequest(
            request.sequence, account, index, request.tokens, self._version
        )
        self._send(QuotaDatagram(request=message), request.owner)
        get_running_loop().call_later(
            ANSWER_TIMEOUT_S, self._handle_timeout, request.sequence
        )

    def _publish(self, reply: AskResult) -> None:
        if not reply.is_answered:
            self._log.write(
                'quotas:unanswered',
                failed=True,
                account=reply.account,
                reserve=len(reply.granted),
                owners=self._asker.owners(reply.account),
            )
        self.bus.publish(QuotaGranted(**reply._asdict()))


class QuotasProtocol(DatagramProtocol):
    """Passes datagrams to the task that owns the socket."""

    def __init__(self, task: QuotasTask) -> None:
        """Create the protocol of a task."""
        self._task = task

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the task."""
        self._task.receive(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a peer that does not listen may have stopped."""


def _accounts_with_quota(routing: Routing) -> dict[str, ClientAccount]:
    return {
        name: account
        for name, account in routing.accounts_by_name.items()
        if account.rate_per_s > 0
    }


def _rounded(age_s: float) -> float | None:
    """Return an age for logs; None if it is infinite."""
    return round(age_s, 2) if age_s < float('inf') else None


@MESH_PLUGINS.register('quotas')
def create_quotas(context: Context) -> QuotasTask:
    """Create the quotas task."""
    return QuotasTask(context)
