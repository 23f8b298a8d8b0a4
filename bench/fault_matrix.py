"""Cells of the fault matrix: which faults are injected at which steps."""

from collections.abc import Callable, Coroutine
from itertools import product
from typing import Any, Final, NamedTuple

from bench.fault_changes import run_change_cell
from bench.fault_fleet import FaultFleet
from bench.fault_life import run_life_cell
from bench.fault_requests import run_request_cell
from bench.fault_table import FAULTS

RunCell = Callable[
    [FaultFleet, tuple[str, ...], str, str],
    Coroutine[Any, Any, dict[str, str]],
]


class Track(NamedTuple):
    """A sequence of steps at which faults are injected.

    Attributes:
        steps: Names of the steps, in order.
        run: Runs one cell and returns the violations by property.
        reasons_by_component: Why faults of a component cannot occur on this
            track.
    """

    steps: tuple[str, ...]
    run: RunCell
    reasons_by_component: dict[str, str]


class MatrixCell(NamedTuple):
    """One cell of the matrix.

    Attributes:
        track: ``request``, ``change`` or ``life``.
        faults: One fault, or two that are injected concurrently.
        step: Step at which they are injected.
        reason: Why the cell cannot occur, or empty.
    """

    track: str
    faults: tuple[str, ...]
    step: str
    reason: str = ''

    @property
    def label(self) -> str:
        """Track, faults and step, as reports name the cell."""
        return f'{self.track}: {" + ".join(self.faults)} at {self.step}'


TRACKS_BY_NAME: Final = {
    'request': Track(
        (
            'received',
            'classed',
            'sent on',
            'queued',
            'being written to the server',
            'running',
            'answer partly read',
            'answer being relayed',
        ),
        run_request_cell,
        {},
    ),
    'change': Track(
        ('submitted', 'written', 'answered', 'read', 'relayed', 'in force'),
        run_change_cell,
        {'server': 'a backend server takes no part in a change of targets'},
    ),
    'life': Track(
        ('announce', 'join', 'serve', 'drain', 'leave', 'rejoin'),
        run_life_cell,
        {'operators': "a change of targets is no part of a member's life"},
    ),
}
PAIRS: Final = (
    ('server is killed', 'entry daemon is killed'),
    ('daemon is killed', 'platform down'),
    ('daemon is frozen and woken', 'link between daemons duplicates'),
    ('server drains', 'daemon is restarted'),
    ('link between daemons cut back', 'server answers late'),
    ('server straggles', 'platform stale'),
    ('daemon is restarted', 'platform loses an answer'),
)
# Faults that are also injected twice at the same time.
DOUBLED_FAULTS: Final = (
    'daemon is killed',
    'daemon is restarted',
    'daemon is frozen and woken',
    'platform loses an answer',
    'two operators race',
)
PAIR_STEPS_BY_TRACK: Final = {
    'request': ('sent on', 'running', 'answer being relayed'),
    'change': ('written', 'relayed'),
    'life': ('join', 'serve'),
}
CI_STEPS_BY_TRACK: Final = {
    'request': ('classed', 'running', 'answer being relayed'),
    'change': ('written',),
    'life': ('serve',),
}
CI_FAULTS: Final = (
    'server is killed',
    'server freezes',
    'server drains',
    "server gives another's answer",
    'server cuts answers short',
    'daemon is killed',
    'entry daemon is killed',
    'daemon is restarted',
    'link between daemons duplicates',
    'link to the platform duplicates',
    'platform loses an answer',
    'two operators race',
)


REASONS_BY_FAULT: Final = {
    'link to the server duplicates': (
        'a daemon and its server share a host, no network is between them'
    ),
}


def find_reason(track: str, faults: tuple[str, ...]) -> str:
    """Return why a cell cannot occur, or an empty text."""
    reasons = TRACKS_BY_NAME[track].reasons_by_component
    for name in faults:
        if name in REASONS_BY_FAULT:
            return REASONS_BY_FAULT[name]
        if FAULTS.get(name).component in reasons:
            return reasons[FAULTS.get(name).component]
    return ''


def plan_cells() -> list[MatrixCell]:
    """Return all cells: single faults, pairs, and the same fault twice."""
    cells = [
        MatrixCell(track, (name,), step, find_reason(track, (name,)))
        for track in TRACKS_BY_NAME
        for step, name in product(TRACKS_BY_NAME[track].steps, FAULTS.names())
    ]
    doubled = tuple((name, name) for name in DOUBLED_FAULTS)
    cells += [
        MatrixCell(track, pair, step, find_reason(track, pair))
        for track, steps in PAIR_STEPS_BY_TRACK.items()
        for step, pair in product(steps, (*PAIRS, *doubled))
    ]
    return cells


def plan_ci_cells() -> list[MatrixCell]:
    """Return the cells of the fixed subset that CI runs."""
    return [
        cell
        for cell in plan_cells()
        if cell.step in CI_STEPS_BY_TRACK[cell.track]
        and len(cell.faults) == 1
        and cell.faults[0] in CI_FAULTS
    ]
