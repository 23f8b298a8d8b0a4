"""Client library that calls backend servers with a single proxy hop.

A client chooses a server in the same way as the ingress task of a daemon and
connects directly to the daemon beside that server. Example::

    async with Client(('127.0.0.1:7002',)) as client:
        outcome = await client.call(
            ClientCall('GET', 'jar-ledger', '/balances/7')
        )

The outcome is a ``Result``; its failure states whether the request may
have been executed.
"""

from collections.abc import Mapping
from random import Random
from time import monotonic
from typing import Final, NamedTuple, Self
from urllib.parse import unquote

from returns.result import Failure, Success

from bergamotshunt.choice.caller import Caller, CallerEnvironment
from bergamotshunt.choice.calls import CallHead, HeaderItems
from bergamotshunt.choice.directory_watching import DirectoryWatcher
from bergamotshunt.choice.idempotent_calls import (
    Outcome,
    create_no_server_refusal,
)
from bergamotshunt.decisions.tickets import (
    format_ticket,
    looks_like_ticket,
    parse_ticket,
)
from bergamotshunt.http.transport import HttpClient
from bergamotshunt.ingress.booking_calls import Ownership, create_ticket
from bergamotshunt.ingress.call_heads import (
    RequestPath,
    find_target,
    normalize_path,
)
from bergamotshunt.ingress.call_types import CallBody, CallResponse
from bergamotshunt.ingress.callers_port_fallback import CallersPortFallback
from bergamotshunt.messages import Ticket
from bergamotshunt.operators.targets import Target
from bergamotshunt.peers.headers import BOOKING_KEY, DEPTH, INTERNAL
from bergamotshunt.settings import CallsSettings
from bergamotshunt.verdicts import Verdict, create_refusal

MS_PER_S: Final = 1000
REQUEST_ID_BITS: Final = 128
# A booking that its server certainly did not run is sent again with a new
# ticket for another server, up to this number of tickets.
MAX_TICKETS_PER_CALL: Final = 3
MAX_CONNECTIONS_PER_DAEMON: Final = 64


class ClientCall(NamedTuple):
    """A call to a service.

    Attributes:
        method: HTTP method.
        service: Name of the service.
        path: Percent-encoded path below the service, with query string.
        headers: Further headers with names in lower case.
        body: The complete body.
        deadline_ms: Time within which the response must arrive; 0 for the
            default.
        booking_key: Ticket or UUIDv7 that identifies a booking; if it is
            empty, a ticket is created. To repeat a booking, pass the key
            of its first attempt.
        parent: Headers of the request that caused this call; the hop count
            and the mark of internal requests are taken from them.
    """

    method: str
    service: str
    path: str
    headers: HeaderItems = ()
    body: bytes = b''
    deadline_ms: float = 0
    booking_key: str = ''
    parent: Mapping[str, str] = {}


class TicketOwners:
    """Finds the owner of a booking key that is a ticket.

    Only daemons can claim other keys, in the platform's key-value store.
    """

    async def resolve(
        self, service: str, key: str, proposed: Ticket
    ) -> Ownership:
        """Parse the key as a ticket, which names its owner."""
        ticket = parse_ticket(key)
        if ticket is None:
            return self._create_failure(
                f'the booking key of {len(key)} characters is not a ticket'
            )
        return Success(ticket)

    async def rebind(
        self, service: str, key: str, failed: Ticket, proposed: Ticket
    ) -> Ownership:
        """Fail: the owner of a ticket never changes."""
        return self._create_failure(
            'the booking key is a ticket, whose owner cannot change'
        )

    def _create_failure(self, detail: str) -> Ownership:
        return Failure(create_refusal('not-a-ticket', detail))


class Client:
    """Calls services directly, or else through a daemon's callers port.

    Args:
        peers: Peers ports (``IP:port``) of daemons to ask for servers.
        callers: Callers ports (``IP:port``) to use when a direct call is
            not possible.
        availability_zone: Availability zone of this process.
        settings: Section ``calls`` of the settings.
        seed: Seed of the random source; by default a random one.
    """

    def __init__(
        self,
        peers: tuple[str, ...],
        callers: tuple[str, ...] = (),
        availability_zone: str = '',
        settings: CallsSettings = CallsSettings(),  # noqa: WPS404
        seed: int | None = None,
    ) -> None:
        """Create a client without connections."""
        self.peers = peers
        self.settings = settings
        self.callers = callers
        self.availability_zone = availability_zone
        self.rng = Random(seed)

    async def __aenter__(self) -> Self:
        """Create the connection pool; an event loop must be running."""
        self.http_client = HttpClient(MAX_CONNECTIONS_PER_DAEMON)
        environment = CallerEnvironment(
            self.settings, self.availability_zone, self.rng, now_ms
        )
        self.caller = Caller(environment, self.http_client, TicketOwners())
        self.directory_watcher = DirectoryWatcher(
            self.caller, self.http_client, self.peers, self.rng, now_ms
        )
        self.callers_port_fallback = CallersPortFallback(
            self.http_client,
            self.callers,
            now_ms,
            self.settings.body_buffer_bytes,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all connections."""
        await self.directory_watcher.close()
        await self.http_client.close()

    async def call(self, call: ClientCall) -> Outcome:
        """Make a call.

        Returns:
            The response of a backend server, or a failure whose verdict
            states whether the request may have been executed. The caller
            closes ``rest`` of a response that is still streaming, as
            ``read_body`` does.
        """
        timeout_ms = call.deadline_ms or self.settings.default_deadline_ms
        head = self._create_head(call, now_ms() + timeout_ms)
        # The other half of the time is left for the call itself.
        directory = await self.directory_watcher.get(
            call.service, timeout_ms / 2
        )
        refusal = self.directory_watcher.refusal_of(directory)
        needs_claim = bool(call.booking_key) and not looks_like_ticket(
            call.booking_key
        )
        if refusal or needs_claim:
            return await self.callers_port_fallback.call(
                head, call.body, refusal
            )
        path = call.path.partition('?')[0]
        found_target = normalize_path(path, unquote(path)).bind(
            lambda normalized_path: find_target(
                {call.service: directory.targets} if directory.targets else {},
                call.method,
                RequestPath(call.service, call.path, normalized_path),
            )
        )
        if isinstance(found_target, Failure):
            return Failure(found_target.failure())
        target = found_target.unwrap()
        return await self._send(
            head._replace(
                target=target, internal=head.internal or target.internal
            ),
            CallBody(call.body),
        )

    async def _send(self, head: CallHead, body: CallBody) -> Outcome:
        if head.target.idempotent or head.booking_key:
            return await self.caller.call(head, body)
        tried_ids: set[str] = set()
        outcome: Outcome = Failure(create_no_server_refusal(head.service))
        for _ in range(MAX_TICKETS_PER_CALL):
            choice = self.caller.view_of(head.service).choose(
                now_ms(), tried_ids
            )
            if choice is None:
                break
            member = choice.candidate.member
            tried_ids.add(member.daemon_id)
            key = format_ticket(create_ticket(member))
            head_with_key = head._replace(
                booking_key=key, headers=(*head.headers, (BOOKING_KEY, key))
            )
            outcome = await self.caller.call(
                head_with_key, body, is_new_key=True
            )
            if not is_known_not_run(outcome):
                break
        return outcome

    def _create_head(self, call: ClientCall, deadline_ms: float) -> CallHead:
        depth = call.parent.get(DEPTH, '0')
        headers = call.headers
        if call.booking_key:
            headers = (*headers, (BOOKING_KEY, call.booking_key))
        return CallHead(
            call.service,
            call.method,
            call.path,
            headers,
            f'{self.rng.getrandbits(REQUEST_ID_BITS):032x}',
            deadline_ms,
            Target(''),
            int(depth) if depth.isdecimal() else 0,
            call.parent.get(INTERNAL) == '1',
            call.booking_key,
        )


async def read_body(response: CallResponse) -> bytes:
    """Read the complete body of a response and close its stream.

    Raises:
        IncompleteResponseError: The connection closed before the body was
            complete.
    """
    if response.rest is None:
        return response.body
    try:
        chunks = [chunk async for chunk in response.rest]
    finally:
        response.rest.close()
    return b''.join((response.body, *chunks))


def is_known_not_run(outcome: Outcome) -> bool:
    """Return whether the request was certainly not executed.

    A booking may then be sent again with a new key.
    """
    if isinstance(outcome, Success):
        return False
    return outcome.failure().verdict is Verdict.NOT_RUN


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return monotonic() * MS_PER_S
