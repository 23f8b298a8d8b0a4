"""Admission of clients' requests within the quotas of their accounts."""

from asyncio import CancelledError, Future, get_running_loop
from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from bergamotshunt.decisions.quota_credits import (
    Demand,
    LocalCredits,
    count_to_ask,
)
from bergamotshunt.decisions.quota_grants import Credit
from bergamotshunt.kernel import MessageBus
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.quota_task_messages import (
    QuotaGranted,
    QuotaNeeded,
    QuotaReturned,
)
from bergamotshunt.routing import ClientAccount
from bergamotshunt.task_metrics import TaskMetrics

MS_PER_S: Final = 1000
# Longest time for which a request waits for a token.
MAX_WAIT_S: Final = 0.08
# The owners are asked anew if the task of quotas has not answered for this
# time; it answers sooner unless it failed.
MAX_ASK_S: Final = 0.5
# Time after which a request may be sent again that got no answer in time.
UNANSWERED_RETRY_MS: Final = 500.0
# Idle accounts are dropped above this number; bounds the memory.
MAX_ACCOUNTS: Final = 10_000


class QuotaRefusal(NamedTuple):
    """A request may not run now.

    Attributes:
        retry_after_ms: Time after which a token is expected, different for
            requests that are refused together.
        is_over_quota: Whether the account is over its quota; otherwise no
            owner of its shards has answered.
    """

    retry_after_ms: float
    is_over_quota: bool


# A token of the quota, or None if the account has no quota.
QuotaDecision = Credit | QuotaRefusal | None


class AccountGate:
    """State of one account at the gate."""

    def __init__(self) -> None:
        """Create the state of an account without requests."""
        self.credits = LocalCredits()
        self.demand = Demand()
        self.waiting: deque[Future[QuotaDecision]] = deque()
        self.rate_per_s: float = 1
        # Boot time at which the owners were asked; None if no ask runs.
        self.asked_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether nothing is lost when the state is dropped."""
        return not (self.waiting or self.credits or self.asked_s is not None)

    def drop_expired(self, now_s: float) -> None:
        """Drop expired tokens, and an ask that is not answered any more."""
        self.credits.drop_expired(now_s)
        if self.asked_s is not None and now_s >= self.asked_s + MAX_ASK_S:
            self.asked_s = None


class QuotaGate:
    """Spends the tokens of accounts, and asks for more when they are used up.

    It belongs to one task; the task of quotas asks the owners.

    Args:
        bus: Message bus of the daemon.
        boot_clock: Returns the boot time in seconds.
        bounds: Window and permitted excess of quotas.
        metrics: Metrics of the task.
    """

    def __init__(
        self,
        bus: MessageBus,
        boot_clock: Callable[[], float],
        bounds: Bounds,
        metrics: TaskMetrics,
    ) -> None:
        """Create a gate without tokens."""
        self._bus = bus
        self._boot_clock = boot_clock
        self._bounds = bounds
        self._metrics = metrics
        self._gates_by_account: dict[str, AccountGate] = {}

    async def acquire(self, account: ClientAccount) -> QuotaDecision:
        """Spend a token for a request, or wait for one for a short time.

        Returns:
            The token, to ``refund`` if the request does not run; None if the
            account has no quota; a refusal if there is no token.
        """
        if account.rate_per_s <= 0:
            return None
        gate = self._find_gate(account)
        now_s = self._boot_clock()
        gate.demand = gate.demand.record(now_s)
        credit = None if gate.waiting else gate.credits.take(now_s)
        if credit is not None:
            self._metrics.increment('quota_requests', outcome='local')
            return credit
        admission = await self._wait(account.name, gate)
        self._metrics.increment('quota_requests', outcome=_outcome(admission))
        return admission

    def refund(self, credit: Credit | None) -> None:
        """Give back the token of a request that did not run and will not."""
        if credit is None:
            return
        gate = self._gates_by_account.get(credit.account)
        self._metrics.increment('quota_refunds')
        if gate is not None and self._boot_clock() < credit.expiry_s:
            gate.credits.add((credit,))
            self._serve_waiting(gate)
        elif credit.request is not None:
            self._bus.publish(QuotaReturned(credit))

    def handle_granted(self, message: QuotaGranted) -> None:
        """Spend granted tokens on the requests that wait."""
        gate = self._gates_by_account.get(message.account)
        if gate is None:
            for credit in message.granted:
                self.refund(credit)
            return
        gate.credits.add(message.granted)
        self._serve_waiting(gate)
        if not message.is_final:
            return
        gate.asked_s = None
        if not message.granted:
            self._refuse_waiting(gate, message)
        elif gate.waiting:
            # These arrived later, or the owners granted too few tokens.
            self._ask(message.account, gate)

    def _find_gate(self, account: ClientAccount) -> AccountGate:
        gate = self._gates_by_account.get(account.name)
        if gate is None:
            if len(self._gates_by_account) >= MAX_ACCOUNTS:
                self._drop_idle()
            gate = AccountGate()
            self._gates_by_account[account.name] = gate
        gate.rate_per_s = account.rate_per_s
        return gate

    def _drop_idle(self) -> None:
        now_s = self._boot_clock()
        for known in self._gates_by_account.values():
            known.drop_expired(now_s)
        self._gates_by_account = {
            name: gate
            for name, gate in self._gates_by_account.items()
            if not gate.is_idle
        }

    async def _wait(self, name: str, gate: AccountGate) -> QuotaDecision:
        loop = get_running_loop()
        waiting: Future[QuotaDecision] = loop.create_future()
        gate.waiting.append(waiting)
        self._ask(name, gate)
        timer = loop.call_later(MAX_WAIT_S, _give_up, waiting)
        try:
            return await waiting
        except CancelledError:
            self._refund_cancelled(waiting)
            raise
        finally:
            timer.cancel()
            if waiting in gate.waiting:
                gate.waiting.remove(waiting)

    def _refund_cancelled(self, waiting: Future[QuotaDecision]) -> None:
        """Keep the token that a request got just before it was cancelled."""
        if waiting.done() and not waiting.cancelled():
            admission = waiting.result()
            if isinstance(admission, Credit):
                self.refund(admission)

    def _ask(self, name: str, gate: AccountGate) -> None:
        """Ask for tokens unless an answer is due."""
        now_s = self._boot_clock()
        if gate.asked_s is not None and now_s < gate.asked_s + MAX_ASK_S:
            return
        gate.asked_s = now_s
        needed = len(gate.waiting)
        wanted = count_to_ask(needed, gate.demand, now_s, self._bounds)
        self._bus.publish(QuotaNeeded(name, needed, wanted))

    def _serve_waiting(self, gate: AccountGate) -> None:
        while gate.waiting:
            if gate.waiting[0].done():
                gate.waiting.popleft()
                continue
            credit = gate.credits.take(self._boot_clock())
            if credit is None:
                return
            gate.waiting.popleft().set_result(credit)

    def _refuse_waiting(self, gate: AccountGate, message: QuotaGranted) -> None:
        """Refuse all, each with the time at which its token flows in."""
        retry_after_ms = message.retry_after_ms
        while gate.waiting:
            waiting = gate.waiting.popleft()
            if waiting.done():
                continue
            waiting.set_result(
                QuotaRefusal(retry_after_ms, message.is_answered)
            )
            retry_after_ms += MS_PER_S / gate.rate_per_s


def _give_up(waiting: Future[QuotaDecision]) -> None:
    if not waiting.done():
        waiting.set_result(QuotaRefusal(UNANSWERED_RETRY_MS, False))


def _outcome(decision: QuotaDecision) -> str:
    if not isinstance(decision, QuotaRefusal):
        return 'granted'
    return 'refused' if decision.is_over_quota else 'unanswered'
