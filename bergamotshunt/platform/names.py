"""Header names of the platform."""

from typing import Final

REQUEST_ID: Final = b'X-Bergamotshunt-Request-Id'
TIMEOUT_MS: Final = b'X-Bergamotshunt-Timeout-Ms'
TARGET_INSTANCE: Final = b'X-Bergamotshunt-Target-Instance'
CALLER_SERVICE: Final = b'X-Bergamotshunt-Caller-Service'
SIGNATURE: Final = b'X-Bergamotshunt-Response-Signature'
NOT_EXECUTED: Final = b'X-Bergamotshunt-Not-Executed'
INSTANCE_ID: Final = b'X-Bergamotshunt-Instance-Id'
SERVER_LOAD: Final = b'X-Bergamotshunt-Server-Load'
# The platform calls a client account a tenant.
ACCOUNT: Final = b'X-Bergamotshunt-Tenant-Id'
AUTHORIZATION: Final = b'Authorization'
COLD_REMAINING_MS: Final = b'X-Bergamotshunt-Cold-Remaining-Ms'
STORE_ERA: Final = b'Store-Era'
