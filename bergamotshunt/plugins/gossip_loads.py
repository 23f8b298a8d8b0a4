"""Load queries by datagram: sends, serves and receives them."""

from typing import Final

from bergamotshunt.kernel import NoHandlerError
from bergamotshunt.messages import (
    DescribeLoad,
    LoadResponseReceived,
    PeerReached,
    QueryLoad,
)
from bergamotshunt.peers.datagrams import (
    Datagram,
    DatagramKind,
    Endpoint,
    endpoint_of,
)
from bergamotshunt.plugins.gossip import DATAGRAM_HANDLERS, HANDLERS, GossipTask

MAX_PENDING_LOAD_RESPONSES: Final = 64


@HANDLERS.on(QueryLoad)
def query_load(task: GossipTask, message: QueryLoad) -> None:
    """Query daemons for their load, within the configured rate."""
    now_ms = task.now_ms()
    peers = filter(task.swim.composer.is_live_peer, message.daemon_ids)
    for daemon_id in task.queries.admit(peers, now_ms):
        sequence = task.swim.composer.next_sequence()
        task.queries.record_sent(sequence, daemon_id, now_ms)
        query = task.swim.composer.compose_without_updates(
            DatagramKind.LOAD_QUERY,
            now_ms,
            sequence,
            daemon_id,
        )
        member = task.members.table.by_id[daemon_id]
        task.send_datagram(endpoint_of(member), query)


@DATAGRAM_HANDLERS.register(DatagramKind.LOAD_QUERY.name)
def handle_load_query(
    task: GossipTask, query: Datagram, source: Endpoint
) -> None:
    """Respond to a load query, unless too many responses are pending."""
    own_id = task.members.own_record.daemon_id
    if (
        query.target != own_id
        or task.pending_load_responses >= MAX_PENDING_LOAD_RESPONSES
    ):
        return
    task.pending_load_responses += 1
    task.spawn(send_load(task, query.sequence, source))


async def send_load(task: GossipTask, sequence: int, source: Endpoint) -> None:
    """Request the load from the guard task and send it."""
    try:
        report = await task.bus.ask(DescribeLoad())
    except (NoHandlerError, TimeoutError):
        return
    finally:
        task.pending_load_responses -= 1
    response = task.swim.composer.compose_without_updates(
        DatagramKind.LOAD_ANSWER,
        task.now_ms(),
        sequence,
    )
    task.send_datagram(source, response._replace(load=report))


@DATAGRAM_HANDLERS.register(DatagramKind.LOAD_ANSWER.name)
def handle_load_response(
    task: GossipTask, response: Datagram, _source: Endpoint
) -> None:
    """Publish the load from the response to a query."""
    age_ms = task.queries.match_response(
        response.sequence,
        response.sender,
        task.now_ms(),
    )
    if age_ms is not None and response.load is not None:
        task.bus.publish(
            LoadResponseReceived(response.sender, response.load, age_ms)
        )
        task.bus.publish(PeerReached(response.sender))
