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


REGRESSION_CASES: Final[tuple[SoakCase, ...]] = ()
CI_CASES: Final = (SoakCase(1, 20, 6),)


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
