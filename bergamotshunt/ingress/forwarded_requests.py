"""A client's request while it is forwarded, with its route and deadline."""

from asyncio import get_running_loop
from typing import Final, NamedTuple

from bergamotshunt.decisions.slot_waits import TimeLeft
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.permits import Permit
from bergamotshunt.platform.requests import ClientRequestInfo
from bergamotshunt.routing import ClientAccount, RequestKind, Route

MS_PER_S: Final = 1000
BYTES_PER_KIB: Final = 1024


class ForwardedRequest(NamedTuple):
    """A client's request with its route.

    Attributes:
        exchange: The request and its response on the client's connection.
        info: Request id, host, path and timeout that the client states.
        route: Its route.
        service: The service that runs it.
        caller: Service of this host, which makes the request.
        deadline_s: Loop time at which the response is due.
        depth: Number of requests on this host that wait for its response.
        account: Client account that makes it; None for none.
        permit: Limits the time within which it is sent to a server; None for
            no limit.
    """

    exchange: Exchange
    info: ClientRequestInfo
    route: Route
    service: str
    caller: str
    deadline_s: float
    depth: int = 0
    account: ClientAccount | None = None
    permit: Permit | None = None

    @property
    def priority(self) -> int:
        """Priority of the account, or else of the route; 0 is the highest."""
        account = self.account
        if account is None or account.priority is None:
            return self.route.priority
        return account.priority

    def is_permitted(self) -> bool:
        """Return whether the request may be sent to a server now."""
        return self.permit is None or not self.permit.has_ended()

    def permit_left_ms(self) -> float | None:
        """Return the time until the permit ends; None for no limit."""
        return None if self.permit is None else self.permit.left_ms()

    @property
    def body_kib(self) -> float | None:
        """Size of a large body in KiB; None if its length is not stated.

        Only routes for uploads have large bodies.
        """
        if self.route.kind is not RequestKind.UPLOAD:
            return 0
        length = self.exchange.head.length
        return None if length is None else length / BYTES_PER_KIB

    def time_left(self) -> TimeLeft:
        """Return the time until the latency objective and the deadline."""
        return TimeLeft(self.objective_left_ms(), self.left_ms())

    def left_ms(self) -> float:
        """Return the time until the deadline in milliseconds."""
        return (self.deadline_s - get_running_loop().time()) * MS_PER_S

    def objective_left_ms(self) -> float:
        """Return the time until the latency objective in milliseconds.

        For a request that a server makes while it runs another one, this
        is the deadline: without the response, the work of its ancestors is
        lost.
        """
        if self.depth:
            return self.left_ms()
        passed_s = get_running_loop().time() - self.exchange.arrived_s
        return self.route.latency_objective_ms - passed_s * MS_PER_S
