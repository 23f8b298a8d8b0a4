"""Issues tickets for booking keys on the callers port."""

from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.choice.caller import Caller
from bergamotshunt.choice.idempotent_calls import create_no_server_refusal
from bergamotshunt.decisions.tickets import format_ticket
from bergamotshunt.http.web import send_failure, send_json
from bergamotshunt.ingress.booking_calls import create_ticket
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.verdicts import create_refusal

TICKETS_PREFIX: Final = b'/bergamotshunt/tickets/'


async def serve_ticket(
    scope: Any,
    send: Any,
    caller: Caller,
    target_set: TargetSet,
    request_id: str,
) -> None:
    """Serve ``POST /bergamotshunt/tickets/<service>`` with a new ticket."""
    service = scope['raw_path'].removeprefix(TICKETS_PREFIX).decode('latin-1')
    if scope['method'] != 'POST':
        refusal = create_refusal(
            'method-not-allowed',
            f'tickets are issued on POST only, not on {scope["method"]}',
            HTTPStatus.METHOD_NOT_ALLOWED,
        )
        await send_failure(send, refusal, request_id)
        return
    if service not in target_set.by_service:
        refusal = create_refusal(
            'unknown-service',
            f'no targets are set for the service {service!r}',
            HTTPStatus.NOT_FOUND,
        )
        await send_failure(send, refusal, request_id)
        return
    choice = caller.view_of(service).choose(caller.environment.clock_ms())
    if choice is None:
        await send_failure(send, create_no_server_refusal(service), request_id)
        return
    ticket = create_ticket(choice.candidate.member)
    await send_json(
        send,
        {'service': service, 'ticket': format_ticket(ticket)},
        HTTPStatus.CREATED,
    )
