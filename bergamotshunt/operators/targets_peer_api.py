"""Push and pull of targets between daemons over the peer API."""

from typing import Final, TypedDict

from msgspec.json import encode
from returns.result import Failure, Result, Success

from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_json,
)
from bergamotshunt.http.transport import HttpClient, HttpRequest
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
    change_from_document,
    change_to_document,
    service_from_document,
    service_to_document,
)
from bergamotshunt.operators.targets_messages import (
    PulledTargets,
    PullTargets,
)
from bergamotshunt.peers.members import Member
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS
from bergamotshunt.value_checks import check_integer

PUSH_PATH: Final = '/bergamotshunt/targets/push'
PULL_PATH: Final = '/bergamotshunt/targets/pull'
STATUS_OK: Final = 200


class PushRequestDocument(TypedDict):
    """Body of a push: a new change.

    Attributes:
        daemon_id: Daemon that pushes the change.
        change: The change.
    """

    daemon_id: str
    change: ChangeDocument


class PullRequestDocument(TypedDict):
    """Body of a pull: request for what is missing after a revision."""

    after_revision: int


class PullResponseDocument(TypedDict):
    """Body of the response to a pull; fields as in ``PulledTargets``."""

    loaded: bool
    revision: int
    age_ms: int
    changes: list[ChangeDocument]
    snapshot: list[ServiceDocument] | None


class TargetsPeerClient:
    """Client for pushes to and pulls from other daemons.

    Args:
        http_client: HTTP connections to peers; the calling task owns them.
        timeout_ms: Limit for a request, until its response is complete.
    """

    def __init__(self, http_client: HttpClient, timeout_ms: float) -> None:
        """Create the client."""
        self._http_client = http_client
        self._timeout_ms = timeout_ms

    async def push(self, peer: str, daemon_id: str, change: Change) -> bool:
        """Push a change to a peer (``IP:port``).

        Returns:
            Whether the peer accepted it.
        """
        document = PushRequestDocument(
            daemon_id=daemon_id,
            change=change_to_document(change),
        )
        outcome = await self._send(peer, PUSH_PATH, encode(document))
        return isinstance(outcome, Success)

    async def pull(
        self,
        peer: str,
        after_revision: int,
    ) -> PulledTargets | None:
        """Pull what is missing after a revision from a peer (``IP:port``).

        Returns:
            The missing part, or None without a valid response.
        """
        document = PullRequestDocument(after_revision=after_revision)
        outcome = await self._send(peer, PULL_PATH, encode(document))
        match outcome:
            case Success(body):
                return decode_pull_response(body)
        return None

    async def _send(
        self,
        peer: str,
        path: str,
        body: bytes,
    ) -> Result[bytes, str]:
        outcome = await self._http_client.send(
            HttpRequest(
                'POST', f'http://{peer}{path}', {}, body, self._timeout_ms
            ),
        )
        match outcome:
            case Success(response) if response.status == STATUS_OK:
                return Success(response.body)
            case Success(response):
                return Failure(
                    f'{peer}{path} responded with status {response.status}, '
                    f'expected {STATUS_OK}'
                )
        return Failure(outcome.failure().detail)


def peers_port_address(member: Member) -> str:
    """Return the address (``IP:port``) of a member's peers port."""
    ip = f'[{member.ip}]' if ':' in member.ip else member.ip
    return f'{ip}:{member.peers_port}'


def decode_pull_response(body: bytes) -> PulledTargets | None:
    """Decode the response to a pull.

    Returns:
        The changes or snapshot, or None when the body is malformed.
    """
    try:
        return parse_pull_response(body)
    except MalformedInputError:
        return None


def parse_pull_response(body: bytes) -> PulledTargets:
    """Decode the response to a pull.

    Raises:
        MalformedInputError: The body is not the document of a response.
    """
    subject = 'response to a pull'
    document = decode_json(body, subject, PullResponseDocument)
    snapshot = None
    if document['snapshot'] is not None:
        snapshot = tuple(map(service_from_document, document['snapshot']))
    with convert_malformed(subject):
        return PulledTargets(
            loaded=document['loaded'],
            revision=check_integer('revision', document['revision']),
            age_ms=check_integer('age_ms', document['age_ms']),
            changes=tuple(map(change_from_document, document['changes'])),
            snapshot=snapshot,
        )


def encode_pull_response(pulled: PulledTargets) -> bytes:
    """Encode the response to a pull."""
    services = pulled.snapshot
    snapshot = None
    if services is not None:
        snapshot = [service_to_document(service) for service in services]
    return encode(
        PullResponseDocument(
            loaded=pulled.loaded,
            revision=pulled.revision,
            age_ms=pulled.age_ms,
            changes=[change_to_document(change) for change in pulled.changes],
            snapshot=snapshot,
        ),
    )


@PEER_ENDPOINTS.register(PUSH_PATH)
async def serve_push(bus: MessageBus, body: bytes) -> bytes:
    """Publish a change that a peer pushed."""
    document = decode_json(body, 'push of a change', PushRequestDocument)
    change = change_from_document(document['change'])
    bus.publish(ChangeReceived(change, document['daemon_id']))
    return b'{}'


@PEER_ENDPOINTS.register(PULL_PATH)
async def serve_pull(bus: MessageBus, body: bytes) -> bytes:
    """Return what a peer is missing."""
    document = decode_json(body, 'pull of changes', PullRequestDocument)
    return encode_pull_response(await bus.ask(PullTargets(**document)))
