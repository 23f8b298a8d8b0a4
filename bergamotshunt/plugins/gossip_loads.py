"""Load queries by datagram: asking, answering and hearing the answer."""

from typing import Final

from bergamotshunt.kernel import NoHandlerError
from bergamotshunt.messages import (
    DescribeLoad,
    LoadHeard,
    PeerReached,
    QueryLoad,
)
from bergamotshunt.peers.datagrams import (
    Datagram,
    Endpoint,
    DatagramKind,
    endpoint_of,
)
from bergamotshunt.plugins.gossip import HANDLERS, READERS, GossipTask

MAX_LOAD_ANSWERS: Final = 64


@HANDLERS.on(QueryLoad)
def query_load(task: GossipTask, message: QueryLoad) -> None:
    """Ask daemons for their load, within the rate of the settings."""
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


@READERS.register(DatagramKind.LOAD_QUERY.name)
def answer_query(task: GossipTask, query: Datagram, source: Endpoint) -> None:
    """Answer a load query, unless too many are being answered."""
    own_id = task.members.own_record.daemon_id
    if query.target != own_id or task.load_answers >= MAX_LOAD_ANSWERS:
        return
    task.load_answers += 1
    task.spawn(send_load(task, query.sequence, source))


async def send_load(task: GossipTask, sequence: int, source: Endpoint) -> None:
    """Ask the guard for its load and send it."""
    try:
        report = await task.post.ask(DescribeLoad())
    except (NoHandlerError, TimeoutError):
        return
    finally:
        task.load_answers -= 1
    answer = task.swim.composer.compose_without_updates(
        DatagramKind.LOAD_ANSWER,
        task.now_ms(),
        sequence,
    )
    task.send_datagram(source, answer._replace(load=report))


@READERS.register(DatagramKind.LOAD_ANSWER.name)
def take_load(task: GossipTask, answer: Datagram, _source: Endpoint) -> None:
    """Publish the answer to a load query."""
    age_ms = task.queries.match_answer(
        answer.sequence,
        answer.sender,
        task.now_ms(),
    )
    if age_ms is not None and answer.load is not None:
        task.post.publish(LoadHeard(answer.sender, answer.load, age_ms))
        task.post.publish(PeerReached(answer.sender))
