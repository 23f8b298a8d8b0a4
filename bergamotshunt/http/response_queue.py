"""Order and dependence of the responses on one connection."""

from asyncio import Event
from collections import deque
from collections.abc import Iterator
from itertools import dropwhile, islice, takewhile

from bergamotshunt.decisions.connection_closing import may_begin_sending
from bergamotshunt.http.exchanges import Exchange


class ResponseQueue:
    """Requests of a connection whose responses are not complete yet.

    Responses are sent in the order of the requests. One that breaks off after
    its first byte closes the connection, and those behind it are lost.
    """

    def __init__(self) -> None:
        """Create a queue without requests."""
        self._exchanges: deque[Exchange] = deque()
        self._changed = Event()

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._exchanges)

    def __iter__(self) -> Iterator[Exchange]:
        """Iterate over the requests in their order."""
        return iter(self._exchanges)

    def __contains__(self, exchange: Exchange) -> bool:
        """Return whether the response of a request is due."""
        return exchange in self._exchanges

    @property
    def first(self) -> Exchange:
        """The request whose response is sent next; requires one."""
        return self._exchanges[0]

    @property
    def last(self) -> Exchange:
        """The request that arrived last; requires one."""
        return self._exchanges[-1]

    def append(self, exchange: Exchange) -> None:
        """Add a request that has arrived."""
        self._exchanges.append(exchange)

    def remove_first(self) -> None:
        """Remove the first request: its response is complete."""
        self._exchanges.popleft()
        self.wake_waiting()

    def clear(self) -> None:
        """Remove all requests: the connection has ended."""
        self._exchanges.clear()

    def wake_waiting(self) -> None:
        """Let the tasks that wait for a turn check it again."""
        self._changed.set()
        self._changed = Event()

    def is_first(self, exchange: Exchange) -> bool:
        """Return whether the response is the next one to send."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no request has followed yet."""
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def may_send(self, exchange: Exchange) -> bool:
        """Return whether output of a response may be sent now."""
        if not self.is_first(exchange):
            return False
        return exchange.sending or may_begin_sending(
            exchange.pending_bytes,
            is_whole=exchange.finished,
            others_depend=any(
                other.depends_on_connection for other in self.behind(exchange)
            ),
        )

    def behind(self, exchange: Exchange) -> Iterator[Exchange]:
        """Iterate over the requests that arrived after one."""
        from_exchange = dropwhile(
            lambda other: other is not exchange, self._exchanges
        )
        return islice(from_exchange, 1, None)

    async def wait_for_change(self) -> None:
        """Wait until a response is complete or the connection ends."""
        await self._changed.wait()

    async def wait_for_earlier(self, exchange: Exchange) -> None:
        """Wait until no response before this one may close the connection."""
        while self._has_uncertain_before(exchange):
            await self._changed.wait()

    def _has_uncertain_before(self, exchange: Exchange) -> bool:
        earlier = takewhile(
            lambda other: other is not exchange, self._exchanges
        )
        return any(other.may_close_connection for other in earlier)
