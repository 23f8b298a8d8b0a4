"""Which route and which service a request belongs to."""

from random import Random

from bergamotshunt.routing import WeightedService, Route, Routing


def match_route(routing: Routing, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins the path."""
    routes = routing.routes_by_host.get(host.lower(), ())
    for route in routes:
        if path.startswith(route.prefix):
            return route
    return None


class SplitChooser:
    """Deals requests of a split route to its services by weight.

    Smooth weighted turns keep the shares close to the weights over short
    times already; the first turn is drawn, so that daemons differ.
    """

    def __init__(self, rng: Random) -> None:
        """Create a chooser that has dealt nothing."""
        self._rng = rng
        self._credits_by_parts: dict[
            tuple[WeightedService, ...], list[float]
        ] = {}

    def choose(self, parts: tuple[WeightedService, ...]) -> str:
        """Return the service of the next request."""
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credit = self._credits_by_parts.get(parts)
        if credit is None:
            credit = [self._rng.random() * total for _ in parts]
            self._credits_by_parts[parts] = credit
        for position, part in enumerate(parts):
            credit[position] += part.weight
        best = max(range(len(parts)), key=credit.__getitem__)
        credit[best] -= total
        return parts[best].service

    def forget(self) -> None:
        """Drop the turns of splits that a new configuration replaced."""
        self._credits_by_parts.clear()
