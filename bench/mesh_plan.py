"""Plan of a soak of the mesh: events as a pure function of the seed.

Stages of planned work alternate with stages of faults. Between a fault and
the next planned stage lies the time after which a daemon is in touch again.
"""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from bench.mesh_records import CONTACT_S, GRACE_S
from bergamotshunt.registries import Registry

FIRST_EVENT_S: Final = 1.5
MAX_FAULT_S: Final = 2.5


class SoakEvent(NamedTuple):
    """One action on a host.

    Attributes:
        at_s: Time since the start of the traffic.
        action: Name in ``ACTIONS`` of ``bench.mesh_actions``.
        host: Number of the host.
        duration_s: Duration of a fault, or delay between its two parts.
        detail: Further choice of the action; see there.
    """

    at_s: float
    action: str
    host: int
    duration_s: float = 0
    detail: str = ''


class Stage(NamedTuple):
    """Random source, size of the mesh and start of a stage."""

    rng: Random
    host_count: int
    start_s: float

    def host(self) -> int:
        """Return a random host."""
        return self.rng.randrange(self.host_count)

    def within(self, length_s: float) -> float:
        """Return a random time in the first seconds of the stage."""
        return round(self.start_s + self.rng.uniform(0, length_s), 2)


PlanStage = Callable[[Stage], list[SoakEvent]]
PLANNED_STAGES: Final[Registry[PlanStage]] = Registry('planned stage')
FAULT_STAGES: Final[Registry[PlanStage]] = Registry('fault stage')


def plan_events(
    seed: int, duration_s: float, host_count: int
) -> tuple[SoakEvent, ...]:
    """Return the events of a soak in the order of their times."""
    rng = Random(seed)
    events: list[SoakEvent] = []
    start_s = FIRST_EVENT_S
    registry = PLANNED_STAGES
    while start_s < duration_s - GRACE_S:
        name = rng.choice(registry.names())
        stage = registry.get(name)(Stage(rng, host_count, round(start_s, 2)))
        events += stage
        end_s = max(event.at_s + event.duration_s for event in stage)
        if registry is PLANNED_STAGES:
            start_s, registry = end_s + GRACE_S / 2, FAULT_STAGES
        else:
            start_s, registry = end_s + CONTACT_S + 1, PLANNED_STAGES
    end_s = max(event.at_s + event.duration_s for event in events) + GRACE_S
    events.append(SoakEvent(round(end_s, 2), 'stop-all', 0))
    return tuple(sorted(events))


@PLANNED_STAGES.register('rolling restart')
def plan_rolling_restart(stage: Stage) -> list[SoakEvent]:
    """Restart daemons one after the other, often before the last is back."""
    interval_s = stage.rng.uniform(0.3, 2.0)
    hosts = stage.rng.sample(
        range(stage.host_count), stage.rng.randint(3, stage.host_count)
    )
    return [
        SoakEvent(round(stage.start_s + index * interval_s, 2), 'stop', host)
        for index, host in enumerate(hosts[:8])
    ]


@PLANNED_STAGES.register('restart together')
def plan_concurrent_restart(stage: Stage) -> list[SoakEvent]:
    """Restart up to half of the daemons at about the same time."""
    count = stage.rng.randint(2, max(2, stage.host_count // 2))
    hosts = stage.rng.sample(range(stage.host_count), count)
    return [SoakEvent(stage.within(0.5), 'stop', host) for host in hosts]


@PLANNED_STAGES.register('replace servers')
def plan_replacement(stage: Stage) -> list[SoakEvent]:
    """Replace servers, and stop daemons beside them and elsewhere."""
    hosts = stage.rng.sample(range(stage.host_count), 3)
    events = [
        SoakEvent(
            stage.within(2),
            'replace-server',
            host,
            detail=stage.rng.choice(('draining', 'deregistered', 'same-id')),
        )
        for host in hosts[:2]
    ]
    stops = [
        SoakEvent(stage.within(4), 'stop', host)
        for host in (stage.rng.choice(hosts), stage.host())
    ]
    return events + stops


@PLANNED_STAGES.register('change configuration')
def plan_configuration(stage: Stage) -> list[SoakEvent]:
    """Change the configuration while daemons reload and restart."""
    changes = [SoakEvent(stage.within(4), 'configure', 0) for _ in range(4)]
    reloads = [
        SoakEvent(stage.within(4), 'reload', stage.host()) for _ in range(3)
    ]
    stops = [SoakEvent(stage.within(4), 'stop', stage.host()) for _ in range(3)]
    return changes + reloads + stops


@PLANNED_STAGES.register('restart without store')
def plan_restart_without_store(stage: Stage) -> list[SoakEvent]:
    """Restart daemons while the store fails, which excuses no lost request."""
    fails = stage.rng.choice(('refuse-store', 'cut-store', 'expire-leases'))
    outage = SoakEvent(stage.start_s, fails, stage.host(), 3)
    stops = [
        SoakEvent(stage.within(2.5), 'stop', stage.host()) for _ in range(3)
    ]
    return [outage, *stops]


PROCESS_FAULTS: Final = ('kill', 'freeze', 'stop', 'reload', 'stop-and-kill')
LINK_FAULTS: Final = (
    'cut-link',
    'delay-link',
    'narrow-link',
    'reset-link',
    'silence-link',
)
STORE_FAULTS: Final = (
    'cut-store',
    'refuse-store',
    'silence-store',
    'expire-leases',
    'forget-history',
)
SERVER_FAULTS: Final = (
    'drop-responses',
    'truncate-responses',
    'refuse-requests',
    'crash-server',
)


def _plan_faults(
    stage: Stage, names: tuple[str, ...], count: int
) -> list[SoakEvent]:
    return [
        SoakEvent(
            stage.within(3),
            stage.rng.choice(names),
            stage.host(),
            round(stage.rng.uniform(0.2, MAX_FAULT_S), 2),
            stage.rng.choice(('to', 'from', 'both')),
        )
        for _ in range(count)
    ]


@FAULT_STAGES.register('processes')
def plan_process_faults(stage: Stage) -> list[SoakEvent]:
    """Kill, freeze and stop daemons in any order, also the same one."""
    return _plan_faults(stage, PROCESS_FAULTS, 6)


@FAULT_STAGES.register('links')
def plan_link_faults(stage: Stage) -> list[SoakEvent]:
    """Impair links while daemons stop."""
    faults = _plan_faults(stage, LINK_FAULTS, 5)
    return faults + _plan_faults(stage, ('stop', 'configure'), 2)


@FAULT_STAGES.register('servers')
def plan_server_faults(stage: Stage) -> list[SoakEvent]:
    """Impair and crash servers while others are replaced."""
    faults = _plan_faults(stage, SERVER_FAULTS, 5)
    return faults + _plan_faults(stage, ('stop', 'replace-server'), 2)


@FAULT_STAGES.register('everything')
def plan_all_faults(stage: Stage) -> list[SoakEvent]:
    """Let faults of all kinds overlap."""
    names = PROCESS_FAULTS + LINK_FAULTS + STORE_FAULTS + SERVER_FAULTS
    changes = ('replace-server', 'configure')
    return _plan_faults(stage, names + changes, 10)
