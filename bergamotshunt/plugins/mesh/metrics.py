"""Metrics: serves the metrics and the state of all tasks."""

from http import HTTPStatus
from importlib import import_module
from typing import Final

from msgspec.json import encode

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header
from bergamotshunt.kernel import MESH_PLUGINS, Context
from bergamotshunt.mesh_messages import DescribeMetrics, DescribeState
from bergamotshunt.mesh_task import ListeningTask, settings_of

TEXT_CONTENT_TYPE: Final[Header] = (
    b'Content-Type',
    b'text/plain; version=0.0.4',
)
JSON_CONTENT_TYPE: Final[Header] = (b'Content-Type', b'application/json')


class MetricsTask(ListeningTask):
    """Serves ``/metrics`` and ``/status`` on the metrics address."""

    name = 'metrics'

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the socket."""
        super().__init__(context, settings_of(context).metrics)

    async def serve(self, exchange: Exchange) -> None:
        """Serve a request for the metrics or the state."""
        match exchange.head.target:
            case b'/metrics':
                snapshots = await self.bus.ask_all(DescribeMetrics())
                # Imported on first use: it takes over 5 MB of memory.
                module = import_module('bergamotshunt.metrics_text')
                text: bytes = module.create_metrics_text(snapshots)
                exchange.respond(HTTPStatus.OK, [TEXT_CONTENT_TYPE], text)
            case b'/status':
                states = await self.bus.ask_all(DescribeState())
                merged = {
                    name: state
                    for task_state in states
                    for name, state in task_state.items()
                }
                exchange.respond(
                    HTTPStatus.OK, [JSON_CONTENT_TYPE], encode(merged)
                )
            case _:
                exchange.respond(HTTPStatus.NOT_FOUND, [])


@MESH_PLUGINS.register('metrics')
def create_metrics(context: Context) -> MetricsTask:
    """Create the metrics task."""
    return MetricsTask(context)
