"""Statuses that a response may have."""

from typing import Final

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599


class InvalidStatusError(ValueError):
    """The status of a response is no HTTP status.

    It tells nothing of the request, which may have run.
    """


def check_status(status: int) -> int:
    """Check the status of a response that a server sent.

    Parsers accept any three digits, and a client would get such a status as
    an answer, or wait behind it as behind an interim response.

    Raises:
        InvalidStatusError: It is no HTTP status.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidStatusError(
            f'status = {status:03}: expected {MIN_STATUS} to {MAX_STATUS}'
        )
    return status
