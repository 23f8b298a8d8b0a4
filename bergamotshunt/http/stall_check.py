"""Check whether a client takes its responses, or sends what is due."""

from asyncio import Transport
from collections.abc import Callable

from bergamotshunt.decisions.connection_closing import (
    ClientProgress,
    is_stalled,
    update_progress,
)
from bergamotshunt.http.send_queue import count_undelivered_bytes


class StallCheck:
    """Follows the bytes that move between a connection and its client.

    Attributes:
        written_bytes: Response bytes that were written so far.
        received_body_bytes: Body bytes that were received so far.
    """

    def __init__(self) -> None:
        """Create the check of a new connection."""
        self.written_bytes = 0
        self.received_body_bytes = 0
        self._progress = ClientProgress(
            is_awaited=False, moved_bytes=0, draining=False, since_s=0
        )

    def is_client_stalled(
        self,
        transport: Transport,
        now_s: float,
        find_deadline_s: Callable[[float], float],
        *,
        is_awaited: bool,
        draining: bool,
    ) -> bool:
        """Update the progress of the client; return whether it has none.

        Args:
            transport: Transport of the connection.
            now_s: Loop time in seconds.
            find_deadline_s: Returns until when a client may make no progress,
                from the loop time of the last one; both in seconds.
            is_awaited: Whether the client has to take or to send bytes.
            draining: Whether the daemon stops.
        """
        taken_bytes = self.written_bytes - count_undelivered_bytes(transport)
        current = ClientProgress(
            is_awaited=is_awaited,
            # A client may send its whole body before it reads the response.
            moved_bytes=taken_bytes + self.received_body_bytes,
            draining=draining,
            since_s=now_s,
        )
        self._progress = update_progress(self._progress, current)
        stall_end_s = find_deadline_s(self._progress.since_s)
        return is_stalled(self._progress, now_s, stall_end_s)
