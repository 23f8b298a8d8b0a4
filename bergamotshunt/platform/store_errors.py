"""Errors of calls to the platform's key-value store."""

from http import HTTPStatus
from typing import Final

from bergamotshunt.stored_items import Item


class StoreError(Exception):
    """A call to the store failed.

    Attributes:
        status: HTTP status of the response; 0 without one.
    """

    status = 0


class StoreUnavailableError(StoreError):
    """The store did not execute the call."""


class OutcomeUnknownError(StoreError):
    """The call may have been executed, or may be executed later."""


class StaleEraError(OutcomeUnknownError):
    """The response is of the time before the store was restored."""


class HistoryGoneError(StoreError):
    """The changes after the revision have been compacted."""


class LeaseEndedError(StoreError):
    """The lease does not exist, or has expired."""


ERRORS_BY_STATUS: Final[dict[int, type[StoreError]]] = {
    HTTPStatus.GONE: HistoryGoneError,
    HTTPStatus.NOT_FOUND: LeaseEndedError,
}


class ConflictError(StoreError):
    """The compare-and-swap condition of a change does not hold.

    Attributes:
        items: The current items of the compared keys.
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        """Create the error."""
        found = {item.key: item.revision for item in items}
        super().__init__(
            f'a compared key has another revision than expected; found {found}'
        )
        self.items = items
