"""Admin: the administration API and the metrics."""

from typing import Any, Final

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import DescribeTask, PortBound
from bergamotshunt.web import HttpServer

HANDLERS: Final = HandlerTable()


class AdminTask(Task):
    """Owns the admin port."""

    name = 'admin'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        app = Starlette(
            routes=[
                Route('/v1/status', self.show_status),
                Route('/metrics', show_metrics),
            ]
        )
        self.http = HttpServer(
            app,
            context.settings.daemon.ip,
            context.settings.daemon.admin_port,
        )

    async def open(self) -> None:
        """Listen on the admin port."""
        await self.http.open()
        self.post.publish(PortBound('admin', self.http.port))

    async def close(self) -> None:
        """Close the port."""
        await self.http.close()
        await super().close()

    async def show_status(self, _request: Request) -> JSONResponse:
        """Answer with what this daemon sees."""
        status: dict[str, Any] = {'daemon': self.settings.daemon.id}
        for part in await self.post.ask_all(DescribeTask()):
            status.update(part)
        return JSONResponse(status)


async def show_metrics(_request: Request) -> Response:
    """Answer with the metrics in the text format of Prometheus."""
    return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)


@PLUGINS.register('admin')
def create_admin(context: Context) -> AdminTask:
    """Create the admin task."""
    return AdminTask(context)
