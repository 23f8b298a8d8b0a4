"""Tests that the event loop of a daemon does not use io_uring."""

from os import readlink
from pathlib import Path

from bergamotshunt.daemon import create_runner


async def list_descriptors() -> list[str]:
    return [
        readlink(entry)
        for entry in Path('/proc/self/fd').iterdir()
        if entry.is_symlink()
    ]


def test_event_loop_opens_no_io_uring() -> None:
    """Guards against a version of libuv that ignores UV_USE_IO_URING.

    The hosts forbid io_uring; libuv 1.52 sets up a ring regardless of the
    variable.
    """
    with create_runner() as runner:
        descriptors = runner.run(list_descriptors())
    assert any('eventpoll' in name for name in descriptors)
    assert not any('io_uring' in name for name in descriptors)
