"""Steps at which a backend stand-in holds requests until told."""

from asyncio import Event, timeout
from collections import defaultdict

from standins.backend_responses import MAX_HOLD_S, BackendRequest


class HoldPoints:
    """Requests that name a step in their query wait there.

    Attributes:
        reached_by_name: Set when a request waits under the name.
        released_by_name: Set to let it go on.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self.reached_by_name: dict[str, Event] = defaultdict(Event)
        self.released_by_name: dict[str, Event] = defaultdict(Event)

    async def pause_at(self, request: BackendRequest, step: str) -> None:
        """Wait at a step that the request names, until it is released."""
        if step not in request.query:
            return
        name = request.query[step][0]
        self.reached_by_name[name].set()
        async with timeout(MAX_HOLD_S):
            await self.released_by_name[name].wait()
