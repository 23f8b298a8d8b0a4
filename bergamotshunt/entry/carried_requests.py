"""A client's request on its way, with its route and its times."""

from asyncio import get_running_loop
from typing import Final, NamedTuple

from bergamotshunt.decisions.slot_waits import TimeLeft
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.platform.requests import ClientRequestInfo
from bergamotshunt.routing import Route

MS_PER_S: Final = 1000


class CarriedRequest(NamedTuple):
    """A client's request with its route.

    Attributes:
        exchange: The request, and where its response goes.
        call: What the client says of it.
        route: Its route.
        service: The service that runs it.
        caller: Service of this host.
        deadline_s: Time of the loop at which the final response is due.
        depth: Requests above it that wait for its response.
    """

    exchange: Exchange
    call: ClientRequestInfo
    route: Route
    service: str
    caller: str
    deadline_s: float
    depth: int = 0

    def time_left(self) -> TimeLeft:
        """Return the time until the goal and until the end."""
        return TimeLeft(self.goal_left_ms(), self.left_ms())

    def left_ms(self) -> float:
        """Return the time until the final response is due."""
        return (self.deadline_s - get_running_loop().time()) * MS_PER_S

    def goal_left_ms(self) -> float:
        """Return the time until a response is worth less.

        A request that a server makes while it runs another one is useful
        to the end: without its response, the work above it is lost.
        """
        if self.depth:
            return self.left_ms()
        passed_s = get_running_loop().time() - self.exchange.arrived_s
        return self.route.latency_objective_ms - passed_s * MS_PER_S
