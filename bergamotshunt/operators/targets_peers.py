"""Targets between daemons: pushes and pulls over the peer API."""

from typing import Final, TypedDict

from msgspec.json import decode, encode
from returns.result import Failure, Result, Success

from bergamotshunt.http.transport import HttpRequest, HttpClient
from bergamotshunt.kernel import MessageBus
from bergamotshunt.messages import (
    ChangeReceived,
)
from bergamotshunt.operators.targets import (
    Change,
    ChangeDocument,
    ServiceDocument,
)
from bergamotshunt.operators.targets_codec import (
    describe_change,
    describe_service,
    read_change,
    read_service,
)
from bergamotshunt.operators.targets_messages import (
    PulledTargets,
    PullTargets,
)
from bergamotshunt.peers.members import Member
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS

PUSH_PATH: Final = '/bergamotshunt/targets/push'
PULL_PATH: Final = '/bergamotshunt/targets/pull'
STATUS_OK: Final = 200


class PushDocument(TypedDict):
    """A new change, from the daemon that tells it."""

    daemon_id: str
    change: ChangeDocument


class PullDocument(TypedDict):
    """Question for what is missing after a revision."""

    after_revision: int


class PulledDocument(TypedDict):
    """Response to a pull; see ``PulledTargets``."""

    loaded: bool
    revision: int
    age_ms: int
    changes: list[ChangeDocument]
    snapshot: list[ServiceDocument] | None


class TargetsPeers:
    """Sends pushes and pulls to other daemons.

    Args:
        sender: Connections to peers, owned by the task.
        timeout_ms: Time to the whole response.
    """

    def __init__(self, sender: HttpClient, timeout_ms: float) -> None:
        """Create the client."""
        self._sender = sender
        self._timeout_ms = timeout_ms

    async def push(self, peer: str, daemon_id: str, change: Change) -> bool:
        """Tell a peer (``IP:port``) a change; tell whether it answered."""
        document = PushDocument(
            daemon_id=daemon_id,
            change=describe_change(change),
        )
        outcome = await self._send(peer, PUSH_PATH, encode(document))
        return isinstance(outcome, Success)

    async def pull(
        self,
        peer: str,
        after_revision: int,
    ) -> PulledTargets | None:
        """Ask a peer for what is missing; None without a usable response."""
        document = PullDocument(after_revision=after_revision)
        outcome = await self._send(peer, PULL_PATH, encode(document))
        match outcome:
            case Success(body):
                return decode_pulled(body)
        return None

    async def _send(
        self,
        peer: str,
        path: str,
        body: bytes,
    ) -> Result[bytes, str]:
        outcome = await self._sender.send(
            HttpRequest(
                'POST', f'http://{peer}{path}', {}, body, self._timeout_ms
            ),
        )
        match outcome:
            case Success(response) if response.status == STATUS_OK:
                return Success(response.body)
            case Failure(failure):
                return Failure(failure.detail)
        return Failure('the peer refused')


def address_of(member: Member) -> str:
    """Return the address (``IP:port``) of a member's peers port."""
    ip = f'[{member.ip}]' if ':' in member.ip else member.ip
    return f'{ip}:{member.peers_port}'


def decode_pulled(body: bytes) -> PulledTargets | None:
    """Decode the response to a pull; None when it is malformed."""
    try:
        document = decode(body, type=PulledDocument)
    except ValueError:
        return None
    snapshot = None
    if document['snapshot'] is not None:
        snapshot = tuple(map(read_service, document['snapshot']))
    return PulledTargets(
        loaded=document['loaded'],
        revision=document['revision'],
        age_ms=document['age_ms'],
        changes=tuple(map(read_change, document['changes'])),
        snapshot=snapshot,
    )


def encode_pulled(pulled: PulledTargets) -> bytes:
    """Encode the response to a pull."""
    services = pulled.snapshot
    snapshot = None
    if services is not None:
        snapshot = [describe_service(service) for service in services]
    return encode(
        PulledDocument(
            loaded=pulled.loaded,
            revision=pulled.revision,
            age_ms=pulled.age_ms,
            changes=[describe_change(change) for change in pulled.changes],
            snapshot=snapshot,
        ),
    )


@PEER_ENDPOINTS.register(PUSH_PATH)
async def serve_push(bus: MessageBus, body: bytes) -> bytes:
    """Take a change that a peer pushed."""
    document = decode(body, type=PushDocument)
    change = read_change(document['change'])
    bus.publish(ChangeReceived(change, document['daemon_id']))
    return b'{}'


@PEER_ENDPOINTS.register(PULL_PATH)
async def serve_pull(bus: MessageBus, body: bytes) -> bytes:
    """Answer a peer that is behind."""
    document = decode(body, type=PullDocument)
    return encode_pulled(await bus.ask(PullTargets(**document)))
