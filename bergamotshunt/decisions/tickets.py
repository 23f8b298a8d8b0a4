"""Booking tickets: their text form, and the process that owns them."""

from re import ASCII
from re import compile as compile_pattern
from typing import Final, NamedTuple

from bergamotshunt.messages import Ticket

TICKET_PREFIX: Final = 'bk1.'
# No leading zeros, so that each ticket has exactly one text form.
_NUMBER_PATTERN = '(0|[1-9][0-9]{0,17})'
_NAME_PATTERN = '([A-Za-z0-9_-]{1,64})'
_TICKET_PATTERN = compile_pattern(
    rf'bk1\.{_NAME_PATTERN}\.{_NUMBER_PATTERN}\.{_NUMBER_PATTERN}'
    r'\.([A-Za-z0-9_-]{8,64})',
    ASCII,
)
_PROCESS_PATTERN = compile_pattern(
    rf'{_NAME_PATTERN}\.{_NUMBER_PATTERN}', ASCII
)


class ProcessName(NamedTuple):
    """One process of one daemon; text form ``<daemon id>.<process id>``.

    The daemon id alone does not identify a booking table, as the table of
    a daemon is empty again after a restart.
    """

    daemon_id: str
    process_id: int


def owner_of(ticket: Ticket) -> ProcessName:
    """Return the process that owns the key of the ticket."""
    return ProcessName(ticket.daemon_id, ticket.process_id)


def looks_like_ticket(text: str) -> bool:
    """Return whether the text starts like a ticket, valid or not."""
    return text.startswith(TICKET_PREFIX)


def format_ticket(ticket: Ticket) -> str:
    """Return the text form of a ticket."""
    return (
        f'{TICKET_PREFIX}{ticket.daemon_id}.{ticket.process_id}'
        f'.{ticket.era}.{ticket.nonce}'
    )


def parse_ticket(text: str) -> Ticket | None:
    """Parse a ticket; None when the text is not exactly one ticket."""
    match = _TICKET_PATTERN.fullmatch(text)
    if match is None:
        return None
    daemon_id, process_id, era, nonce = match.groups()
    return Ticket(daemon_id, int(process_id), int(era), nonce)


def format_process(process: ProcessName) -> str:
    """Return the text form of a process name."""
    return f'{process.daemon_id}.{process.process_id}'


def parse_process(text: str) -> ProcessName | None:
    """Parse a process name; None when the text is malformed."""
    match = _PROCESS_PATTERN.fullmatch(text)
    if match is None:
        return None
    daemon_id, process_id = match.groups()
    return ProcessName(daemon_id, int(process_id))


def parse_chain(text: str) -> tuple[ProcessName, ...] | None:
    """Parse a comma-separated list of process names.

    Returns:
        The names; empty for an empty text, None for a malformed one.
    """
    if not text:
        return ()
    names = [parse_process(part.strip()) for part in text.split(',')]
    parsed = tuple(name for name in names if name is not None)
    return parsed if len(parsed) == len(names) else None


def era_at(now_ms: float, started_ms: float, era_s: float) -> int:
    """Return the booking era of a process: whole eras since its start.

    Args:
        now_ms: Time now.
        started_ms: Start of the process on the same clock.
        era_s: Length of an era in seconds.
    """
    return int((now_ms - started_ms) // (era_s * 1000))
