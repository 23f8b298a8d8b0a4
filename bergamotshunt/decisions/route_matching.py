"""Selects the route and the service of a request."""

from random import Random

from bergamotshunt.routing import Route, Routing, WeightedService


def match_route(routing: Routing, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of the path, or None."""
    routes = routing.routes_by_host.get(host.lower(), ())
    # The routes are sorted, longest prefix first.
    for route in routes:
        if path.startswith(route.prefix):
            return route
    return None


class WeightedSplitter:
    """Distributes requests of a split route to its services by weight.

    Smooth weighted round robin keeps the shares close to the weights even
    over a few requests. It starts at a random position, so that daemons do
    not all choose the same service first.
    """

    def __init__(self, rng: Random) -> None:
        """Create a splitter without state."""
        self._rng = rng
        self._credits_by_parts: dict[
            tuple[WeightedService, ...], list[float]
        ] = {}

    def choose(self, parts: tuple[WeightedService, ...]) -> str:
        """Return the service of the next request."""
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credits = self._credits_by_parts.get(parts)
        if credits is None:
            credits = [self._rng.random() * total for _ in parts]
            self._credits_by_parts[parts] = credits
        for position, part in enumerate(parts):
            credits[position] += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def reset(self) -> None:
        """Drop the state of all splits, after a change of configuration."""
        self._credits_by_parts.clear()
