"""Leases of the platform that many keys share."""

from asyncio import Task as AsyncioTask
from asyncio import shield
from collections.abc import Callable, Coroutine
from typing import Any, Final

from returns.result import Failure, Result, Success

from bergamotshunt.platform_connection import Answered, PlatformError

# All keys with the same time to live that are written within an hour share
# one lease, so that leases cost one grant an hour.
SHARED_S: Final = 3600

Grant = Callable[[int], Coroutine[Any, Any, Answered]]
Spawn = Callable[[Coroutine[Any, Any, Answered]], AsyncioTask[Answered]]


class SharedLeases:
    """Leases by time to live and hour.

    Args:
        grant: Asks the platform for a lease of so many seconds.
        spawn: Runs the question as a child of the task.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        grant: Grant,
        spawn: Spawn,
        clock: Callable[[], float],
    ) -> None:
        """Create without leases."""
        self._grant = grant
        self._spawn = spawn
        self._clock = clock
        self._grants_by_key: dict[tuple[int, int], AsyncioTask[Answered]] = {}

    async def obtain_all(
        self,
        ttls_s: set[int],
    ) -> Result[dict[int, str], PlatformError]:
        """Return the lease for each time to live."""
        leases_by_ttl_s: dict[int, str] = {}
        for ttl_s in ttls_s:
            match await self._obtain(ttl_s):
                case Success(answer):
                    leases_by_ttl_s[ttl_s] = str(answer['ID'])
                case Failure(error):
                    # A grant that was lost leaves no key behind.
                    failure = error.failure._replace(may_have_run=False)
                    return Failure(error._replace(failure=failure))
        return Success(leases_by_ttl_s)

    def forget(self) -> None:
        """Grant anew from now on, because a lease is gone."""
        self._grants_by_key.clear()

    async def _obtain(self, ttl_s: int) -> Answered:
        period = int(self._clock() // SHARED_S)
        key = (ttl_s, period)
        self._grants_by_key = {
            known: grant
            for known, grant in self._grants_by_key.items()
            if known[1] == period
        }
        grant = self._grants_by_key.get(key)
        if grant is None:
            # Keys written at the end of the hour live as long as stated.
            grant = self._spawn(self._grant(ttl_s + SHARED_S))
            self._grants_by_key[key] = grant
        outcome = await shield(grant)
        if isinstance(outcome, Failure):
            self._grants_by_key.pop(key, None)
        return outcome
