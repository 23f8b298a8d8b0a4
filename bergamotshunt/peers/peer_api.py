"""Endpoints that the tasks of a daemon offer to peers on the peers port.

The guard owns the port and hands each request below ``PREFIX`` to the
endpoint that a plug-in registered under its path.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from bergamotshunt.kernel import MessageBus
from bergamotshunt.registries import Registry

PREFIX: Final = '/bergamotshunt/'

# Takes the body of the request (JSON), returns the body of the response.
# A ValueError (msgspec.DecodeError among them) becomes status 400.
PeerEndpoint = Callable[[MessageBus, bytes], Awaitable[bytes]]
PEER_ENDPOINTS: Final[Registry[PeerEndpoint]] = Registry('peer endpoint')
