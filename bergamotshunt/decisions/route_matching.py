"""Selects the route and the service of a request."""

from math import fmod
from random import Random
from typing import Final

from bergamotshunt.routing import Route, Routing, WeightedService

GOLDEN_RATIO: Final = 0.6180339887498949


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

    Each request takes a position between 0 and 1, and the service whose part
    of the cumulated weights holds it. Positions advance by the golden ratio,
    which keeps the shares close to the weights over a few requests; the
    first one is random, so that each request of each daemon has the right
    probability, however few they are.
    """

    def __init__(self, rng: Random) -> None:
        """Create a splitter without state."""
        self._rng = rng
        self._position_by_parts: dict[tuple[WeightedService, ...], float] = {}

    def choose(self, parts: tuple[WeightedService, ...]) -> str:
        """Return the service of the next request."""
        if len(parts) == 1:
            return parts[0].service
        position = self._position_by_parts.get(parts)
        if position is None:
            position = self._rng.random()
        self._position_by_parts[parts] = fmod(position + GOLDEN_RATIO, 1)
        return _service_at(parts, position)

    def reset(self) -> None:
        """Drop the state of all splits, after a change of configuration."""
        self._position_by_parts.clear()


def _service_at(parts: tuple[WeightedService, ...], position: float) -> str:
    """Return the service whose part of the weights holds a position."""
    weighted = [part for part in parts if part.weight > 0] or parts
    rest = position * sum(part.weight for part in weighted)
    for part in weighted:
        rest -= part.weight
        if rest < 0:
            return part.service
    return weighted[-1].service
