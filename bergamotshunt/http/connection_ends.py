"""How connections of clients and peers end, for logs and metrics."""

from enum import StrEnum
from typing import NamedTuple


class CloseReason(StrEnum):
    """Why a connection to a listener ended.

    Attributes:
        CLIENT_CLOSED: The client closed its side.
        CONNECTION_FAILED: It was reset or its link failed.
        IDLE: It was idle for longer than the client limits allow.
        LAST_RESPONSE: Its last response was announced as the last one.
        REJECTED: A request was malformed, late or too large.
        TIMEOUT: The deadline of a request passed within its response.
        RESPONSE_CUT: The source of a response failed within the response.
        HANDLER_FAILED: The handler of a request failed within the response.
        STALLED: The client took no more bytes of the last response.
        SHUTDOWN: The listener closed.
    """

    CLIENT_CLOSED = 'client-closed'
    CONNECTION_FAILED = 'connection-failed'
    IDLE = 'idle'
    LAST_RESPONSE = 'last-response'
    REJECTED = 'rejected'
    TIMEOUT = 'timeout'
    RESPONSE_CUT = 'response-cut'
    HANDLER_FAILED = 'handler-failed'
    STALLED = 'stalled'
    SHUTDOWN = 'shutdown'


# A close within a response is not explained by what ends the connection later.
WITHIN_RESPONSE = frozenset(
    (
        CloseReason.REJECTED,
        CloseReason.TIMEOUT,
        CloseReason.RESPONSE_CUT,
        CloseReason.HANDLER_FAILED,
    )
)
CLOSED_BY_CLIENT = frozenset(
    (CloseReason.CLIENT_CLOSED, CloseReason.CONNECTION_FAILED)
)


class ConnectionEnd(NamedTuple):
    """End of one connection.

    Attributes:
        reason: Why it ended.
        client: Address of the client, as ``ip:port``.
        unsent_bytes: Response bytes that the system had not accepted yet. A
            connection that fails reports the last size known before.
        responses_due: Requests without a complete response.
        request_id: Id of the request whose response was due, or of the last
            one with a response; empty when unknown.
    """

    reason: CloseReason
    client: str
    unsent_bytes: int
    responses_due: int
    request_id: str

    @property
    def complete(self) -> bool:
        """Whether all responses were handed to the system."""
        return not self.unsent_bytes and not self.responses_due


class OpenConnections(NamedTuple):
    """Open connections of one listener.

    Attributes:
        connections: Number of connections.
        responses_due: Requests without a complete response.
        unsent_bytes: Response bytes that the system has not accepted yet.
    """

    connections: int
    responses_due: int
    unsent_bytes: int


def total_of(states: list[OpenConnections]) -> OpenConnections:
    """Return the sum over several listeners."""
    return OpenConnections(
        connections=sum(state.connections for state in states),
        responses_due=sum(state.responses_due for state in states),
        unsent_bytes=sum(state.unsent_bytes for state in states),
    )


class EndRecorder:
    """Records why a connection ends, and what it had not sent by then.

    Args:
        client: Address of the client, as ``ip:port``.

    Attributes:
        request_id: Id of the last request with a response; empty when
            unknown.
    """

    def __init__(self, client: str = '') -> None:
        """Create a recorder of an open connection."""
        self.request_id = ''
        self._client = client
        self._reason: CloseReason | None = None
        self._is_aborted = False
        self._unsent_bytes = 0

    def record_unsent(self, unsent_bytes: int) -> None:
        """Record the response bytes that are unsent now."""
        self._unsent_bytes = unsent_bytes

    def record_close(self, reason: CloseReason, unsent_bytes: int) -> None:
        """Record that the connection closes; the first reason is kept."""
        self._unsent_bytes = unsent_bytes
        self._reason = self._reason or reason

    def record_abort(self, reason: CloseReason, unsent_bytes: int) -> None:
        """Record that the connection closes without sending the rest."""
        self._unsent_bytes = unsent_bytes
        if self._reason not in WITHIN_RESPONSE:
            self._reason = reason
        self._is_aborted = True

    def end(
        self, error: Exception | None, due_request_ids: list[str]
    ) -> ConnectionEnd:
        """Return the end of the connection.

        Args:
            error: Error of the transport; None when it closed in order.
            due_request_ids: Ids of the requests without a complete response.
        """
        is_flushed = error is None and not self._is_aborted
        return ConnectionEnd(
            self._reason or CloseReason.CONNECTION_FAILED,
            self._client,
            0 if is_flushed else self._unsent_bytes,
            len(due_request_ids),
            due_request_ids[0] if due_request_ids else self.request_id,
        )
