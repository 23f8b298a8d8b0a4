"""Names and values of the HTTP headers between processes."""

from typing import Final

from bergamotshunt.choice.calls import LoadReport

REQUEST_ID: Final = 'bergamotshunt-request-id'
# Time left until the deadline when the request was sent, not a clock time.
DEADLINE_MS: Final = 'bergamotshunt-deadline-ms'
TARGET: Final = 'bergamotshunt-target'
REVISION: Final = 'bergamotshunt-revision'
DEPTH: Final = 'bergamotshunt-depth'
ATTEMPT: Final = 'bergamotshunt-attempt'
# Process that the request is for; not the incarnation of its member record.
PROCESS_ID: Final = 'bergamotshunt-incarnation'
INTERNAL: Final = 'bergamotshunt-internal'
# Ticket that the sender of the request bound to the booking key.
TICKET: Final = 'bergamotshunt-ticket'
# Processes that a booking was handed over through, separated by commas: the
# owner of the ticket, then each received SUCCESSOR value. The last one is the
# process that the request is sent to.
HANDOVER: Final = 'bergamotshunt-handover'
BOOKING_KEY: Final = 'idempotency-key'
VERDICT: Final = 'bergamotshunt-verdict'
LOAD: Final = 'bergamotshunt-load'
# Daemon id of the daemon beside the server that responds.
SERVER: Final = 'bergamotshunt-server'
REPLAYED: Final = 'bergamotshunt-replayed'
# Process (`<daemon id>.<process id>`) that took over a booking key.
SUCCESSOR: Final = 'bergamotshunt-successor'
CONTENT_DIGEST: Final = 'content-digest'
CONTENT_LENGTH: Final = 'content-length'
RETRY_AFTER: Final = 'retry-after'
# A load report with a longer number is malformed.
MAX_LOAD_FIELD_DIGITS: Final = 15

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def format_load(report: LoadReport) -> str:
    """Encode a load report as a header value."""
    return ';'.join(str(field) for field in report)


def parse_load(text: str) -> LoadReport | None:
    """Decode a load report; return None when the value is malformed."""
    fields = text.split(';')
    if len(fields) != len(LoadReport._fields):
        return None
    if not all(
        len(field) <= MAX_LOAD_FIELD_DIGITS and field.isdecimal()
        for field in fields
    ):
        return None
    return LoadReport(*(int(field) for field in fields))
