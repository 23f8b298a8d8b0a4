"""Connector that never reuses a connection with unsolicited data."""

from typing import Any

from aiohttp import TCPConnector
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection


class CleanConnector(TCPConnector):
    """Connector that closes an idle connection on which data arrived.

    aiohttp would treat such data as the response to the next request.
    """

    async def _get(self, key: ConnectionKey, traces: Any) -> Connection | None:
        connection = await super()._get(key, traces)
        while connection is not None and has_unsolicited_data(connection):
            connection.close()
            connection = await super()._get(key, traces)
        return connection


def has_unsolicited_data(connection: Connection) -> bool:
    """Return whether data arrived while no request was pending."""
    protocol = connection.protocol
    return protocol is not None and protocol.should_close
