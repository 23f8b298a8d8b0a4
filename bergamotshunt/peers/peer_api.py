"""Registry of the endpoints that a daemon offers on its peers port.

The guard owns the port and passes each request below ``PEER_API_PREFIX`` to
the endpoint that a plug-in registered for its path.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from bergamotshunt.kernel import MessageBus
from bergamotshunt.registries import Registry

PEER_API_PREFIX: Final = '/bergamotshunt/'

# Takes the request body (JSON) and returns the response body. A ValueError,
# such as msgspec.DecodeError, becomes status 400.
PeerEndpoint = Callable[[MessageBus, bytes], Awaitable[bytes]]
PEER_ENDPOINTS: Final[Registry[PeerEndpoint]] = Registry('peer endpoint')
