"""Seeds that are run again: the cases of CI, and seeds that once failed."""

from typing import Final, NamedTuple


class SoakCase(NamedTuple):
    """A seed with the size of its run.

    Attributes:
        seed: Seed of plan, clients and stand-ins.
        duration_s: Time in seconds over which events start.
        hosts: Number of hosts.
        cause: Cause of the failure that the seed once showed; empty for
            none.
    """

    seed: int
    duration_s: float
    hosts: int
    cause: str = ''


UNSENT_BYTES: Final = (
    'a stopping daemon waits for handlers and not for unsent bytes, so that '
    'it cuts responses to slow readers'
)
REGRESSION_CASES: Final = (
    SoakCase(1, 25, 8, UNSENT_BYTES),
    SoakCase(
        6,
        25,
        8,
        'a refused request whose complete body exceeds 64 KiB leaves the '
        "client's connection paused, so that its next request is never read",
    ),
    SoakCase(
        9,
        25,
        8,
        'a stopping daemon still takes requests of peers after its drain has '
        'ended, and cuts them when it ends',
    ),
    SoakCase(
        3,
        25,
        6,
        'a second SIGTERM between the end of the event loop and the exit '
        'ends the process with code -15',
    ),
)
CI_CASES: Final = REGRESSION_CASES[:2]
