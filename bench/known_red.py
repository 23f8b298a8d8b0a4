"""Known failures of KNOWN-RED.txt, which CI prints and passes over."""

from collections.abc import Mapping
from pathlib import Path
from re import compile as compile_pattern
from typing import Final, NamedTuple

KNOWN_RED_PATH: Final = Path('KNOWN-RED.txt')
TEST_ENTRY: Final = compile_pattern(r'^make unit ARGS="-k (test_\w+)"')
CELL_ENTRY: Final = compile_pattern(
    r'^python -m bench\.faults --part ci\b.*?\bcell "([^"]+)"'
)
SOAK_ENTRY: Final = compile_pattern(
    r'^python -m bench\.mesh_soak.* --seed (\d+).*check ([A-Z ]+):'
)


class KnownRed(NamedTuple):
    """What CI passes over.

    Attributes:
        tests: Names of test functions.
        cells: Labels of cells of the fault matrix.
        soak_checks_by_seed: Checks of the soak, by the seed of its run.
    """

    tests: frozenset[str] = frozenset()
    cells: frozenset[str] = frozenset()
    soak_checks_by_seed: Mapping[int, frozenset[str]] = {}


def read_known_red(path: Path = KNOWN_RED_PATH) -> KnownRed:
    """Return the known failures; an entry names exactly one at its start.

    Args:
        path: Path of KNOWN-RED.txt; it may be missing.
    """
    if not path.exists():
        return KnownRed()
    tests: set[str] = set()
    cells: set[str] = set()
    checks_by_seed: dict[int, frozenset[str]] = {}
    for line in path.read_text(encoding='utf-8').splitlines():
        if entry := TEST_ENTRY.search(line):
            tests.add(entry[1])
        elif entry := CELL_ENTRY.search(line):
            cells.add(entry[1])
        elif entry := SOAK_ENTRY.search(line):
            checks = checks_by_seed.get(int(entry[1]), frozenset())
            checks_by_seed[int(entry[1])] = checks | {entry[2]}
    return KnownRed(frozenset(tests), frozenset(cells), checks_by_seed)
