"""Routes calls of one owner: the entry of a daemon, or a client."""

from collections.abc import Callable, Collection, Mapping
from random import Random
from typing import Any, NamedTuple

from bergamotshunt.choice.attempts import AttemptRunner
from bergamotshunt.choice.calling import CallTools, Outcome, PlainCall
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.choice.service_index import ServiceIndex
from bergamotshunt.choice.views import ServiceView, ViewRules
from bergamotshunt.ingress.booking_calls import (
    BookingCall,
    BookingOwnerResolver,
)
from bergamotshunt.ingress.call_types import CallBody
from bergamotshunt.http.transport import HttpClient
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.peers.members import Member, is_routable
from bergamotshunt.settings import CallsSettings


class CallerPlace(NamedTuple):
    """Settings and surroundings of an owner of calls.

    Attributes:
        settings: Section ``calls``.
        availability_zone: Zone of the owner.
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
        place: Settings and surroundings of the owner.
        sender: Connections to daemons.
        owners: Finds the owners of booking keys.
    """

    def __init__(
        self,
        place: CallerPlace,
        sender: HttpClient,
        owners: BookingOwnerResolver,
    ) -> None:
        """Create a caller that knows no servers."""
        self.place = place
        self.owners = owners
        self.index = ServiceIndex()
        self.views_by_service: dict[str, ServiceView] = {}
        self.tools = CallTools(
            AttemptRunner(
                sender, place.clock_ms, place.settings.body_buffer_bytes
            ),
            place.rng,
            place.clock_ms,
        )

    async def call(
        self, head: CallHead, body: CallBody, is_new_key: bool = False
    ) -> Outcome:
        """Carry one call; see ``PlainCall`` and ``BookingCall``."""
        view = self.view_of(head.service)
        view.extra_load.note_call(self.place.clock_ms())
        if head.target.idempotent:
            return await PlainCall(self.tools, view, head, body).run()
        booking = BookingCall(
            self.tools, view, self.index.members_by_id, self.owners, head, body
        )
        return await booking.run(is_new_key)

    def view_of(self, service: str) -> ServiceView:
        """Return the view of a service, created when it is first called."""
        view = self.views_by_service.get(service)
        if view is None:
            settings = self.place.settings
            rules = ViewRules(
                settings.chooser,
                self.place.availability_zone,
                service,
                settings.retry_share,
                settings.hedge_share,
                settings.max_ejected_share,
            )
            view = ServiceView(rules, self.place.rng, self.place.clock_ms())
            self.views_by_service[service] = view
            self._refresh(service)
        return view

    def update_members(
        self,
        members_by_id: Mapping[str, Member],
        changed_ids: Collection[str] = (),
    ) -> None:
        """Take over the known members.

        Args:
            members_by_id: All members.
            changed_ids: Those that may differ from the last time; empty
                for all.
        """
        for service in self.index.update(members_by_id, changed_ids):
            self._refresh(service)

    def update_targets(self, target_set: TargetSet) -> None:
        """Forget services and targets that no longer exist."""
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
            self.place.clock_ms(),
        )
