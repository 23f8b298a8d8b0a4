"""Odd input of other writers for a mesh of daemons.

It runs on the event loop that the program uses: others treat an unusable
address of a datagram differently.
"""

from collections.abc import Awaitable, Callable
from json import dumps
from typing import Any, Final

from bergamotshunt.daemon import create_runner
from bergamotshunt.routing import AnnouncedState, ServerEntry
from bergamotshunt.task_metrics import TaskMetrics
from bergamotshunt.tests.mesh import LOOPBACK_PREFIX, Mesh
from standins.mesh_server import respond_with_echo

NESTED = b'[' * 100_000
HUGE = 99_999_999_999_999_999_999
OTHER_IP = f'{LOOPBACK_PREFIX}.90'
ODD_IP = f'{LOOPBACK_PREFIX}.91'
ODD_FIELDS: Final[tuple[dict[str, Any], ...]] = (
    {'instance': ''},
    {'instance': 'a\r\nb'},
    {'instance': 'i' * 100_000},
    {'instance': 'ł'},
    {'born_ms': HUGE},
    {'born_ms': -1},
    {'sequence': HUGE},
    {'sequence': -1},
    {'service': ''},
    {'service': 'a\nb'},
    {'zone': ''},
    {'ip': 'x y'},
    {'ip': '300.1.1.1'},
    {'ip': '0.0.0.0'},
    {'ip': '255.255.255.255'},
    {'ip': '::1'},
    {'inbound_port': 70_000},
    {'inbound_port': 0},
    {'inbound_port': -1},
    {'inbound_port': HUGE},
    {'slots': -3},
    {'slots': 0},
    {'slots': HUGE},
    {'cold_ms': -1},
    {'cold_ms': 1e300},
    {'slot_share': -1},
    {'slot_share': 1e300},
)


def server_entry(ip: str, /, **changes: Any) -> ServerEntry:
    entry = ServerEntry(
        instance=f'i-{ip}',
        born_ms=1700,
        sequence=1,
        service='shop',
        zone='zone-1',
        ip=ip,
        inbound_port=8000,
        slots=4,
        state=AnnouncedState.READY,
    )
    return entry._replace(**changes)


def encode_any(document: Any) -> bytes:
    """Encode JSON with integers of any size."""
    return dumps(document).encode()


def run_in_mesh(scenario: Callable[[Mesh], Awaitable[None]]) -> None:
    async def run() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            await scenario(mesh)
            assert failed_loops(mesh) == []

    with create_runner() as runner:
        runner.run(run())


def failed_loops(mesh: Mesh) -> list[str]:
    """Return the names of tasks in which a child has ended."""
    children = {'fleet': 3, 'routes': 1, 'loads': 2, 'inbound': 1}
    tasks_by_name = mesh.hosts[0].kernel.tasks_by_name
    return [
        name
        for name, count in children.items()
        if len(tasks_by_name[name]._children) < count
    ]


def counter(mesh: Mesh, task: str, name: str) -> int:
    metrics: TaskMetrics = mesh.hosts[0].kernel.tasks_by_name[task].metrics  # type: ignore[attr-defined]
    return sum(
        count
        for series, count in metrics.snapshot().counters.items()
        if series.name == name
    )
