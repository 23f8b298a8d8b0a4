"""Reception of messages outside of a task, for tools and tests."""

from asyncio import Queue, timeout
from collections.abc import Callable
from typing import Any

from bergamotshunt.kernel import Mailbox, MessageBus


class MessageListener:
    """Queues the messages of some types that a daemon's tasks publish.

    Args:
        bus: Message bus of the daemon.
        message_types: Types to receive.
    """

    def __init__(self, bus: MessageBus, *message_types: type) -> None:
        """Subscribe to the message types."""
        self.mailbox: Mailbox = Queue()
        for message_type in message_types:
            bus.subscribe(message_type, self.mailbox)

    async def wait_for(
        self,
        is_wanted: Callable[[Any], bool],
        timeout_s: float,
    ) -> Any:
        """Return the first message that matches; discard those before it.

        Args:
            is_wanted: Returns whether a message matches.
            timeout_s: Longest wait.

        Raises:
            TimeoutError: No message matched within ``timeout_s``.
        """
        async with timeout(timeout_s):
            while True:
                envelope = await self.mailbox.get()
                if is_wanted(envelope.message):
                    return envelope.message
