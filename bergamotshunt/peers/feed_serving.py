"""Responses to daemons that ask this one for its entries."""

from http import HTTPStatus

from bergamotshunt.decoding import MalformedInputError
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.kernel import MessageBus, TaskStoppedError
from bergamotshunt.peers.entry_feed import (
    MS_PER_S,
    RESPONSE_TIMEOUT_S,
    decode_feed_target,
    encode_feed_update,
)


async def serve_feed(exchange: Exchange, bus: MessageBus) -> None:
    """Respond with the changes that a follower does not know."""
    try:
        request = decode_feed_target(exchange.head.target)
    except MalformedInputError:
        exchange.respond(HTTPStatus.BAD_REQUEST, [])
        return
    wait_s = request.wait_ms / MS_PER_S + RESPONSE_TIMEOUT_S
    try:
        update = await bus.ask(request, wait_s)
    except (TimeoutError, TaskStoppedError):
        update = None
    if update is None:
        exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, [])
    else:
        exchange.respond(HTTPStatus.OK, [], encode_feed_update(update))
