"""Tests of log lines that the reader has not accepted when a daemon ends."""

import os
from collections.abc import Callable, Iterator
from threading import Event, Thread
from typing import Any

import pytest
from eliot import add_destinations, remove_destination
from msgspec.json import decode
from returns.result import Result, Success

from bergamotshunt import mesh_daemon
from bergamotshunt.log import log_event
from bergamotshunt.platform.boot import FILE_VARIABLE

# More than a pipe holds, and less than the destination buffers in addition.
LINE_COUNT = 100
LINE_TEXT = 'x' * 1000


class PipeReader:
    """Reads a pipe in a thread once the writer has filled it.

    Attributes:
        full: Set when the reading starts.
        content: All bytes read.
    """

    def __init__(self, descriptor: int) -> None:
        self.full = Event()
        self.content = b''
        self._descriptor = descriptor
        self._thread = Thread(target=self._run)
        self._thread.start()

    def join(self) -> None:
        self._thread.join()

    def _run(self) -> None:
        self.full.wait()
        while chunk := os.read(self._descriptor, 4096):
            self.content += chunk


@pytest.fixture
def destinations() -> Iterator[list[Callable[[dict[str, Any]], None]]]:
    added: list[Callable[[dict[str, Any]], None]] = []
    yield added
    for destination in added:
        remove_destination(destination)


def test_daemon_writes_its_last_lines(
    tmp_path: Any,
    monkeypatch: pytest.MonkeyPatch,
    destinations: list[Callable[[dict[str, Any]], None]],
) -> None:
    """Guards against a lost end of the log, which explains the stop."""
    settings_path = tmp_path / 'settings'
    settings_path.write_text('')
    read_end, write_end = os.pipe()
    reader = PipeReader(read_end)

    async def run_until_signal(_settings: None) -> int:
        for number in range(LINE_COUNT):
            log_event('test:line', number=number, text=LINE_TEXT)
        reader.full.set()
        return 0

    def decode_settings(_text: str) -> Result[None, list[str]]:
        return Success(None)

    def add(destination: Callable[[dict[str, Any]], None]) -> None:
        destinations.append(destination)
        add_destinations(destination)

    monkeypatch.setenv(FILE_VARIABLE, str(settings_path))
    monkeypatch.setattr(mesh_daemon, 'decode_settings', decode_settings)
    monkeypatch.setattr(mesh_daemon, '_run_until_signal', run_until_signal)
    monkeypatch.setattr(mesh_daemon, 'STDOUT_DESCRIPTOR', write_end)
    monkeypatch.setattr(mesh_daemon, 'add_destinations', add)
    monkeypatch.setattr(mesh_daemon, 'LOG_FLUSH_TIMEOUT_S', 20.0, raising=False)
    try:
        assert mesh_daemon.run_mesh_daemon() == 0
    finally:
        reader.full.set()
        os.close(write_end)
        reader.join()
        os.close(read_end)
    lines = [decode(line) for line in reader.content.splitlines()]
    assert [line['number'] for line in lines] == list(range(LINE_COUNT))
