"""Structured logs as JSON lines, written with eliot."""

from sys import stderr
from typing import Any, Final, TextIO

from eliot import FileDestination, add_destinations, log_message

LEVELS: Final = ('debug', 'info', 'error')


def configure_log(level: str, stream: TextIO = stderr) -> None:
    """Write log lines of ``level`` and above to the stream.

    Args:
        level: One of ``LEVELS``.
        stream: Receives one JSON object per line.

    Raises:
        ValueError: The level is not one of ``LEVELS``.
    """
    threshold.min_level_index = LEVELS.index(level)
    add_destinations(FileDestination(file=stream))


class LogThreshold:
    """Lowest level that is written, as an index into ``LEVELS``.

    It is shared by the whole process.
    """

    min_level_index = LEVELS.index('info')


threshold: Final = LogThreshold()


def is_logged(level: str) -> bool:
    """Return whether lines of the level are written."""
    return LEVELS.index(level) >= threshold.min_level_index


def log_event(message_type: str, level: str = 'info', **fields: Any) -> None:
    """Write one line if its level is logged.

    Args:
        message_type: Stable name of the event, such as ``guard:drained``.
        level: One of ``LEVELS``.
        fields: Further fields; never request bodies or secrets.
    """
    if is_logged(level):
        log_message(message_type=message_type, level=level, **fields)


def log_error(message_type: str, error: BaseException, **fields: Any) -> None:
    """Write one line of level ``error`` for an unexpected exception.

    Args:
        message_type: Stable name of the event.
        error: Its type and text become the fields ``error`` and ``detail``.
        fields: Further fields of the line.
    """
    log_event(
        message_type,
        level='error',
        error=type(error).__name__,
        detail=str(error),
        **fields,
    )
