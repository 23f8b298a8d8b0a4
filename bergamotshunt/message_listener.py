"""Waiting for messages from outside of a task, for tools and tests."""

from asyncio import Queue, timeout
from collections.abc import Callable
from typing import Any

from bergamotshunt.kernel import Mailbox, Post


class MessageListener:
    """Receives messages of some types from a daemon's tasks.

    Args:
        post: Post of the daemon.
        message_types: Types to receive from now on.
    """

    def __init__(self, post: Post, *message_types: type) -> None:
        """Subscribe to the types."""
        self.mailbox: Mailbox = Queue()
        for message_type in message_types:
            post.subscribe(message_type, self.mailbox)

    async def wait_for(
        self,
        is_wanted: Callable[[Any], bool],
        timeout_s: float,
    ) -> Any:
        """Wait for the first message that is wanted; drop the others.

        Raises:
            TimeoutError: No such message in time.
        """
        async with timeout(timeout_s):
            while True:
                envelope = await self.mailbox.get()
                if is_wanted(envelope.message):
                    return envelope.message
