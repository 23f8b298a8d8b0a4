"""Tests of what CI passes over."""

from pathlib import Path

import pytest

from bench.fault_matrix import MatrixCell, plan_ci_cells
from bench.faults import FAILED, CellResult, count_new_failures
from bench.known_red import KNOWN_RED_PATH, KnownRed, read_known_red

ENTRIES = """Known failures.

python -m bench.mesh_soak --seed 6 --hosts 8, check LOST: x

make unit ARGS="-k test_one" (no seed): failed once beside test_two.

python -m bench.faults --part ci, cell "life: kill at serve": seen once.

python -m bench.faults --part all, cell "life: kill at start": not in CI.
"""


def test_known_red_names_single_failures(tmp_path: Path) -> None:
    """Guards against an entry that excuses other tests, checks or cells."""
    path = tmp_path / 'KNOWN-RED.txt'
    assert read_known_red(path) == KnownRed()
    path.write_text(ENTRIES, encoding='utf-8')
    assert read_known_red(path) == KnownRed(
        frozenset({'test_one'}),
        frozenset({'life: kill at serve'}),
        {6: frozenset({'LOST'})},
    )


def test_known_red_cells_are_cells_of_ci() -> None:
    """Guards against an entry that no longer names a cell."""
    labels = {cell.label for cell in plan_ci_cells()}
    assert read_known_red(KNOWN_RED_PATH).cells <= labels


def test_known_cells_alone_are_passed_over(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a matrix that excuses the cells beside a listed one."""
    cells = [MatrixCell('life', ('kill',), step) for step in ('serve', 'end')]
    known = KnownRed(cells=frozenset({'life: kill at serve'}))
    monkeypatch.setattr('bench.faults.read_known_red', lambda: known)
    failures = [CellResult(cell, FAILED) for cell in cells]
    assert count_new_failures(failures) == 1
    assert not count_new_failures(failures[:1])
    assert 'known red, life: kill at serve: failed' in capsys.readouterr().out
