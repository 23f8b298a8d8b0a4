"""Sends the calls of one owner: the ingress of a daemon, or a client."""

from collections.abc import Callable, Collection, Mapping
from random import Random
from typing import Any, NamedTuple

from bergamotshunt.choice.attempts import AttemptRunner
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.choice.idempotent_calls import (
    CallContext,
    IdempotentCall,
    Outcome,
)
from bergamotshunt.choice.service_index import ServiceIndex
from bergamotshunt.choice.service_views import ServiceView, ViewRules
from bergamotshunt.http.transport import HttpClient
from bergamotshunt.ingress.booking_calls import (
    BookingCall,
    BookingOwnerResolver,
)
from bergamotshunt.ingress.call_types import CallBody
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.peers.members import Member, is_routable
from bergamotshunt.settings import CallsSettings


class CallerEnvironment(NamedTuple):
    """Settings and environment of an owner of calls.

    Attributes:
        settings: Section ``calls`` of the settings.
        availability_zone: Availability zone of the owner.
        rng: Random source.
        clock_ms: Monotonic time in milliseconds.
    """

    settings: CallsSettings
    availability_zone: str
    rng: Random
    clock_ms: Callable[[], float]


class Caller:
    """Sends calls to chosen servers.

    Args:
        environment: Settings and environment of the owner.
        http_client: HTTP client with the connections to daemons.
        owners: Finds the owners of booking keys.
    """

    def __init__(
        self,
        environment: CallerEnvironment,
        http_client: HttpClient,
        owners: BookingOwnerResolver,
    ) -> None:
        """Create a caller without servers."""
        self.environment = environment
        self.owners = owners
        self.index = ServiceIndex()
        self.views_by_service: dict[str, ServiceView] = {}
        self.context = CallContext(
            AttemptRunner(
                http_client,
                environment.clock_ms,
                environment.settings.body_buffer_bytes,
            ),
            environment.rng,
            environment.clock_ms,
        )

    async def call(
        self, head: CallHead, body: CallBody, is_new_key: bool = False
    ) -> Outcome:
        """Run one call; a booking goes to the owner of its key.

        Args:
            head: The call.
            body: Its body.
            is_new_key: Whether the booking key of the call was just issued.

        Returns:
            The response, or a failure with the verdict on the whole call.
        """
        view = self.view_of(head.service)
        view.retry_budgets.record_call(self.environment.clock_ms())
        if head.target.idempotent:
            return await IdempotentCall(self.context, view, head, body).run()
        booking = BookingCall(
            self.context,
            view,
            self.index.members_by_id,
            self.owners,
            head,
            body,
        )
        return await booking.run(is_new_key)

    def view_of(self, service: str) -> ServiceView:
        """Return the view of a service; create it at the first call."""
        view = self.views_by_service.get(service)
        if view is None:
            settings = self.environment.settings
            rules = ViewRules(
                settings.chooser,
                self.environment.availability_zone,
                service,
                settings.retry_share,
                settings.hedge_share,
                settings.max_ejected_share,
            )
            view = ServiceView(
                rules, self.environment.rng, self.environment.clock_ms()
            )
            self.views_by_service[service] = view
            self._refresh(service)
        return view

    def update_members(
        self,
        members_by_id: Mapping[str, Member],
        changed_ids: Collection[str] = (),
    ) -> None:
        """Replace the known members.

        Args:
            members_by_id: All members.
            changed_ids: Members that may have changed since the last update;
                empty when all may have.
        """
        for service in self.index.update(members_by_id, changed_ids):
            self._refresh(service)

    def update_targets(self, target_set: TargetSet) -> None:
        """Drop the state of services and targets that no longer exist."""
        for service, view in tuple(self.views_by_service.items()):
            targets = target_set.by_service.get(service)
            if targets is None:
                self.views_by_service.pop(service)
            else:
                view.keep_targets(
                    frozenset(target.name for target in targets.targets)
                )

    def describe(self) -> dict[str, Any]:
        """Describe all views for the daemon's status."""
        return {
            service: view.describe()
            for service, view in self.views_by_service.items()
        }

    def _refresh(self, service: str) -> None:
        view = self.views_by_service.get(service)
        if view is None:
            return
        view.replace_members(
            filter(is_routable, self.index.members_of(service)),
            self.environment.clock_ms(),
        )
