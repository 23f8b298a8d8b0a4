"""Points at which a backend stand-in holds requests until released."""

from asyncio import Event, timeout
from collections import defaultdict

from standins.backend_responses import MAX_HOLD_S, BackendRequest


class HoldPoints:
    """Holds requests that ask for it in their query.

    A request with ``hold=NAME`` waits before its service time, one with
    ``hold_answer=NAME`` after half of its response body.

    Attributes:
        reached_by_name: Set when a request waits under the name.
        released_by_name: Set to let that request continue.
    """

    def __init__(self) -> None:
        """Create the hold points without waiting requests."""
        self.reached_by_name: dict[str, Event] = defaultdict(Event)
        self.released_by_name: dict[str, Event] = defaultdict(Event)

    async def pause_at(
        self, request: BackendRequest, query_parameter: str
    ) -> None:
        """Wait until released, if the request has the query parameter.

        Raises:
            TimeoutError: It was not released within ``MAX_HOLD_S``.
        """
        if query_parameter not in request.query:
            return
        name = request.query[query_parameter][0]
        self.reached_by_name[name].set()
        async with timeout(MAX_HOLD_S):
            await self.released_by_name[name].wait()
