"""Headers of requests and responses between daemons."""

from typing import Final, NamedTuple

from msgspec import MsgspecError
from msgspec.json import decode, encode

from bergamotshunt.backend.loads import Load
from bergamotshunt.verdicts import Verdict

CALL_HEADER: Final = b'Bergamotshunt-Call'
RESULT_HEADER: Final = b'Bergamotshunt-Result'
# Reason of a refusal by the backend server itself, which counts as an arrival.
SERVER_REFUSED: Final = 'server-refused'
CONFIGURATION_PATH: Final = b'/bergamotshunt/configuration'


class PeerCall(NamedTuple):
    """What a daemon says of a request that it hands to another.

    Attributes:
        request_id: Identity of the client's attempt.
        instance: Lifetime of the server that is to run it.
        caller: Service of the host where the request began.
        left_ms: Time until the final response is due.
        goal_ms: Time until a response is worth less.
        rank: Urgency; 0 is the highest.
        depth: Requests above it that wait for its response.
        work_ms: Usual work of such requests; 0 when unknown.
    """

    request_id: str
    instance: str
    caller: str
    left_ms: float
    objective_left_ms: float
    priority: int
    depth: int = 0
    work_ms: float = 0


class PeerResult(NamedTuple):
    """What the daemon beside the server says of the response.

    Attributes:
        verdict: Whether the request may have run.
        load: Load of the server now.
        reason: Why there is no response of the server; empty if there is.
        took_ms: Time at the server until the head of its response.
        work_ms: The same at the usual pace of the server.
        again_ms: When a slot is expected to be free; 0 when unknown.
        calls: Service and number of the calls that the run made.
        crowded: Whether nearly all slots were taken meanwhile.
    """

    verdict: Verdict
    load: Load
    reason: str = ''
    took_ms: float = 0
    work_ms: float = 0
    retry_after_ms: float = 0
    calls: tuple[tuple[str, int], ...] = ()
    near_saturation: bool = False


def encode_call(call: PeerCall) -> bytes:
    """Encode a call for its header."""
    return encode(call)


def decode_call(content: bytes) -> PeerCall | None:
    """Decode a call; None when it is damaged."""
    try:
        return decode(content, type=PeerCall)
    except MsgspecError:
        return None


def encode_result(result: PeerResult) -> bytes:
    """Encode a result for its header."""
    return encode(result)


def decode_result(content: bytes) -> PeerResult | None:
    """Decode a result; None when it is damaged."""
    try:
        return decode(content, type=PeerResult)
    except MsgspecError:
        return None
