"""Seeds that are run again: the cases of CI, and seeds that once failed."""

from pathlib import Path
from re import compile as compile_pattern
from typing import Final, NamedTuple

KNOWN_RED_ENTRY: Final = compile_pattern(
    r'bench\.mesh_soak.* --seed (\d+).*check ([A-Z ]+):'
)


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


def read_known_red(path: Path) -> dict[int, frozenset[str]]:
    """Return the checks that are known to fail, by seed.

    Args:
        path: Path of KNOWN-RED.txt; it may be missing.
    """
    checks_by_seed: dict[int, frozenset[str]] = {}
    if not path.exists():
        return checks_by_seed
    for line in path.read_text(encoding='utf-8').splitlines():
        entry = KNOWN_RED_ENTRY.search(line)
        if entry is not None:
            seed = int(entry[1])
            checks = checks_by_seed.get(seed, frozenset())
            checks_by_seed[seed] = checks | {entry[2]}
    return checks_by_seed
