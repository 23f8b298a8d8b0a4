"""Authenticates the requests of clients."""

from collections.abc import Callable

from bergamotshunt.decisions.authentication import (
    WITHOUT_ACCOUNT,
    Admission,
    Nesting,
    authenticate,
)
from bergamotshunt.decisions.version_confirmation import VersionConfirmation
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.permits import Permit, create_permit
from bergamotshunt.platform.requests import ClientRequestInfo, parent_id
from bergamotshunt.routing import Route, Routing


class Authenticator:
    """Authenticates requests by the configuration and its confirmation.

    Args:
        bounds: Limits that the platform sets.
        boot_clock: Returns the boot time in seconds.
    """

    def __init__(self, bounds: Bounds, boot_clock: Callable[[], float]) -> None:
        """Create an authenticator without a confirmation."""
        self._bounds = bounds
        self._boot_clock = boot_clock
        self._confirmation = VersionConfirmation()

    def put_in_force(self, version: int) -> None:
        """Record the version of the configuration in force."""
        self._confirmation.put_in_force(version)

    def confirm(self, version: int, confirmed_s: float) -> None:
        """Record that a version was the newest at a boot time."""
        self._confirmation.confirm(version, confirmed_s, self._boot_clock())

    def confirmation_age_s(self) -> float | None:
        """Return the age of the confirmation in force; None for none."""
        return self._confirmation.age_s(self._boot_clock())

    def check(
        self,
        routing: Routing,
        route: Route,
        info: ClientRequestInfo,
        depth: int,
    ) -> Admission:
        """Authenticate a request.

        Args:
            routing: The configuration in force.
            route: Route of the request.
            info: Its id and its key.
            depth: Number of requests on this host that wait for it.
        """
        if not routing.needs_keys:
            # Saves the reading of the clock.
            return WITHOUT_ACCOUNT
        return authenticate(
            routing,
            route,
            info.key,
            _nesting(info.request_id, depth),
            self.confirmation_age_s(),
            self._bounds,
        )

    def create_permit(self, admission: Admission) -> Permit | None:
        """Return the permit of an admission of this moment."""
        return create_permit(admission.valid_ms, self._boot_clock)


def _nesting(request_id: str, depth: int) -> Nesting:
    if depth:
        return Nesting.RUNNING_PARENT
    if parent_id(request_id):
        return Nesting.UNKNOWN_PARENT
    return Nesting.NONE
