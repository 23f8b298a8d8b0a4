"""Scenarios of the measurement: disturbances of a deployment under load."""

from asyncio import gather, sleep
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple, Protocol

from bench.shapes import Shape
from bergamotshunt.registries import Registry

# Factor on the rate of the kind of call that surges.
SURGE_FACTOR: Final = 8
# Factor on the service time of a straggling server.
STRAGGLE_FACTOR: Final = 10
# Factor on the service time at the start of a cold phase; it falls to 1.
COLD_FACTOR: Final = 20
# Length of the cold phase as a share of the run.
COLD_DURATION_SHARE: Final = 0.8
# Share of servers with noisy neighbours.
NOISY_SERVER_SHARE: Final = 0.34


class RunningDeployment(Protocol):
    """Deployment under load: a fleet, or servers in this process."""

    shape: Shape
    hosts: list[Any]

    async def post_control(
        self, host: Any, path: str, document: Any = None
    ) -> Any:
        """Post a document to the control port of a backend server.

        Raises:
            ClientError: The request failed or the status is an error.
        """


Disturbance = Callable[
    [RunningDeployment, float, int], Coroutine[Any, Any, None]
]


class Scenario(NamedTuple):
    """Disturbance and demand of a run.

    Attributes:
        disturb: Coroutine that starts together with the load; gets the
            deployment, the duration in seconds and the seed.
        surge: Factor on the rate of the kind of call that surges.
    """

    disturb: Disturbance
    surge: float = 1


SCENARIOS: Final[Registry[Scenario]] = Registry('scenario')


def scenario(
    name: str, surge: float = 1
) -> Callable[[Disturbance], Disturbance]:
    """Return a decorator that registers a disturbance as a scenario."""

    def decorator(disturb: Disturbance) -> Disturbance:
        SCENARIOS.register(name)(Scenario(disturb, surge))
        return disturb

    return decorator


def main_hosts(deployment: RunningDeployment) -> list[Any]:
    """Return the hosts of the service that scenarios disturb."""
    main = deployment.shape.main_service
    return [host for host in deployment.hosts if host.service == main]


@scenario('quiet')
async def disturb_nothing(
    _deployment: RunningDeployment, _seconds: float, _seed: int
) -> None:
    """Disturb nothing."""


@scenario('surge', surge=SURGE_FACTOR)
async def surge(
    _deployment: RunningDeployment, _seconds: float, _seed: int
) -> None:
    """Disturb no server; the scenario raises the demand only."""


@scenario('noisy-neighbour')
async def add_noisy_neighbours(
    deployment: RunningDeployment, _seconds: float, seed: int
) -> None:
    """Occupy slots of a third of the servers in bursts."""
    hosts = main_hosts(deployment)
    for number, host in enumerate(
        hosts[: round(len(hosts) * NOISY_SERVER_SHARE)]
    ):
        noise = {'slots': 20, 'gap_ms': 200, 'burst_ms': 80}
        await deployment.post_control(
            host, '/noise', {**noise, 'seed': seed + number}
        )


@scenario('straggler')
async def slow_down_server(
    deployment: RunningDeployment, _seconds: float, _seed: int
) -> None:
    """Make one server slower by ``STRAGGLE_FACTOR``."""
    host = main_hosts(deployment)[0]
    await deployment.post_control(
        host, '/faults', {'straggle': STRAGGLE_FACTOR}
    )


@scenario('fail-fast')
async def fail_requests_fast(
    deployment: RunningDeployment, _seconds: float, _seed: int
) -> None:
    """Make one server respond with status 500 immediately."""
    await deployment.post_control(
        main_hosts(deployment)[0], '/faults', {'fail_fast': 1}
    )


@scenario('rolling-drain')
async def drain_one_by_one(
    deployment: RunningDeployment, seconds: float, _seed: int
) -> None:
    """Drain one server after the other."""
    hosts = main_hosts(deployment)
    drain_s = seconds / (len(hosts) + 1)
    for host in hosts:
        await deployment.post_control(host, '/drain', {'draining': True})
        await sleep(drain_s)
        await deployment.post_control(host, '/drain', {'draining': False})


@scenario('cold-start')
async def start_server_cold(
    deployment: RunningDeployment, seconds: float, _seed: int
) -> None:
    """Make one server slow at first, as after a restart."""
    cold = {'cold_s': seconds * COLD_DURATION_SHARE, 'factor': COLD_FACTOR}
    await deployment.post_control(main_hosts(deployment)[0], '/cold', cold)


async def clear_disturbances(deployment: RunningDeployment) -> None:
    """End all disturbances and reset the counters of all servers."""
    await gather(
        *(
            clear_host_disturbances(deployment, host)
            for host in deployment.hosts
        )
    )


async def clear_host_disturbances(
    deployment: RunningDeployment, host: Any
) -> None:
    """End all disturbances of a server and reset its counters."""
    await deployment.post_control(
        host, '/faults', {'straggle': 1, 'fail_fast': 0}
    )
    await deployment.post_control(host, '/noise')
    await deployment.post_control(host, '/drain', {'draining': False})
    await deployment.post_control(host, '/cold', {'cold_s': 0, 'factor': 1})
    await deployment.post_control(host, '/reset')
