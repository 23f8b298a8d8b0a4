"""Headers of forwarded requests and their responses between daemons."""

from typing import Final, NamedTuple

from msgspec.json import encode

from bergamotshunt.backend.loads import Load, check_load, encodable_load
from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_json,
)
from bergamotshunt.value_checks import (
    MAX_DURATION_MS,
    MAX_INTEGER,
    check_header_text,
    check_integer,
    check_number,
    check_text,
)
from bergamotshunt.verdicts import Verdict

CALL_HEADER: Final = b'Bergamotshunt-Call'
RESULT_HEADER: Final = b'Bergamotshunt-Result'
# Reason of a refusal by the backend server itself; unlike other refusals it
# counts as a request that arrived at the server.
SERVER_REFUSED: Final = 'server-refused'
CONFIGURATION_PATH: Final = b'/bergamotshunt/configuration'


class PeerCall(NamedTuple):
    """Metadata of a request that a daemon forwards to another.

    Attributes:
        request_id: Id that the client gave its request.
        instance: Instance id of the server that is to run it.
        caller: Service of the host that the request comes from.
        left_ms: Time until the deadline in milliseconds.
        objective_left_ms: Time until the latency objective in milliseconds.
        priority: Priority of its route; 0 is the highest.
        depth: Number of requests on the sender's host that wait for it.
        work_ms: Typical work of such requests in milliseconds; 0 when
            unknown.
        account: Name of the client account; empty for none.
        permit_left_ms: Time for which the key's admission holds, in
            milliseconds; None for no limit.
    """

    request_id: str
    instance: str
    caller: str
    left_ms: float
    objective_left_ms: float
    priority: int
    depth: int = 0
    work_ms: float = 0
    account: str = ''
    permit_left_ms: float | None = None


class PeerResult(NamedTuple):
    """Metadata of a response from the daemon beside the server.

    Attributes:
        verdict: Whether the request may have run.
        load: Current load of the server.
        reason: Why the server gave no response; empty if it did.
        took_ms: Time at the server until the head of its response, in
            milliseconds.
        work_ms: The same, converted to the baseline pace of the server.
        retry_after_ms: Expected time until a slot is free, in milliseconds;
            0 when unknown.
        calls: Number of calls that the run made, for each called service.
        saturated: Whether nearly all slots were taken meanwhile.
    """

    verdict: Verdict
    load: Load
    reason: str = ''
    took_ms: float = 0
    work_ms: float = 0
    retry_after_ms: float = 0
    calls: tuple[tuple[str, int], ...] = ()
    saturated: bool = False


def encode_call(call: PeerCall) -> bytes:
    """Encode the metadata of a request as JSON for its header."""
    return encode(call)


def decode_call(content: bytes) -> PeerCall | None:
    """Decode the metadata of a request; return None when it is malformed."""
    try:
        with convert_malformed('malformed call'):
            return _check_call(decode_json(content, 'header', PeerCall))
    except MalformedInputError:
        return None


def encode_result(result: PeerResult) -> bytes:
    """Encode the metadata of a response as JSON for its header.

    Times are rounded, as most responses go to another availability zone.
    """
    rounded = result._replace(
        took_ms=round(result.took_ms, 1),
        work_ms=round(result.work_ms, 1),
        retry_after_ms=round(result.retry_after_ms, 1),
    )
    verdict, load, *others = rounded
    return encode((verdict, encodable_load(load), *others))


def decode_result(content: bytes) -> PeerResult | None:
    """Decode the metadata of a response; return None when it is malformed."""
    try:
        with convert_malformed('malformed result'):
            return _check_result(decode_json(content, 'header', PeerResult))
    except MalformedInputError:
        return None


def _check_call(call: PeerCall) -> PeerCall:
    check_header_text('instance', call.instance)
    check_header_text('caller', call.caller)
    # The time may be over when the request is sent.
    check_number('time left', call.left_ms, -MAX_DURATION_MS)
    check_number('objective left', call.objective_left_ms, -MAX_DURATION_MS)
    check_integer('priority', call.priority, -MAX_INTEGER)
    check_integer('depth', call.depth)
    check_number('work', call.work_ms)
    if call.account:
        check_header_text('account', call.account)
    if call.permit_left_ms is not None:
        check_number('permit left', call.permit_left_ms, -MAX_DURATION_MS)
    return call


def _check_result(result: PeerResult) -> PeerResult:
    check_load(result.load)
    if result.reason:
        check_text('reason', result.reason)
    check_number('time', result.took_ms)
    check_number('work', result.work_ms)
    check_number('retry time', result.retry_after_ms)
    for service, count in result.calls:
        check_header_text('called service', service)
        check_integer('calls', count)
    return result
