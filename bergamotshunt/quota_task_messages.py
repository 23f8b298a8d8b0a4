"""Messages between the task of quotas and the task that admits requests."""

from typing import NamedTuple

from bergamotshunt.decisions.quota_grants import Credit


class QuotaNeeded(NamedTuple):
    """Requests of an account wait for tokens.

    Attributes:
        account: Name of the account.
        needed: Number of requests that wait.
        wanted: Tokens to ask for, with those for requests expected soon.
    """

    account: str
    needed: int
    wanted: int


class QuotaGranted(NamedTuple):
    """Tokens that the owners granted, or that there are none.

    Attributes:
        account: Name of the account.
        granted: The tokens.
        retry_after_ms: Time until a shard expects to have a token.
        is_final: Whether no more follow for the requests that waited.
        is_answered: Whether an owner told how many tokens its shard has;
            otherwise this daemon does not know whether the account is over
            its quota.
    """

    account: str
    granted: tuple[Credit, ...]
    retry_after_ms: float
    is_final: bool
    is_answered: bool


class QuotaReturned(NamedTuple):
    """A token whose request did not run goes back to its owner."""

    credit: Credit
