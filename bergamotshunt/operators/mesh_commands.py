"""Diagnostic commands for a mesh: ``explain`` and ``beliefs``."""

from asyncio import run, timeout
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path
from sys import stderr, stdin, stdout
from typing import Final

from msgspec.json import format as format_json

from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.operators.request_explanation import (
    LogLine,
    explain,
    parse_line,
)

RESPONSE_TIMEOUT_S: Final = 5
MAX_STATUS_BYTES: Final = 16_777_216
EXIT_FAILED: Final = 1
STATUS_PATH: Final = b'/status'


def explain_request(request_id: str, files: tuple[Path, ...]) -> int:
    """Print the log lines of a request and the cause of its outcome.

    Args:
        request_id: Request to explain.
        files: Log files; standard input when there are none.

    Returns:
        The exit code: 0 when log lines were found, else 1.

    Raises:
        OSError: A log file cannot be read.
    """
    selected, sentence = explain(_read_files(files), request_id)
    for line in selected:
        fields = {
            name: field
            for name, field in line.fields.items()
            if name not in {'timestamp', 'task_uuid', 'task_level', 'level'}
        }
        stdout.write(f'{line.at_s:.3f} {line.host} {fields}\n')
    stdout.write(f'{sentence}\n')
    return 0 if selected else EXIT_FAILED


def show_beliefs(ip: str, port: int) -> int:
    """Print a daemon's view of the mesh, with the age of each part.

    Args:
        ip: IP address of the daemon's host.
        port: Port on which the daemon serves its metrics.

    Returns:
        The exit code: 0 when the daemon responded, else 1.
    """
    try:
        stdout.write(f'{run(_fetch_beliefs(ip, port))}\n')
    except (ConnectionError, TimeoutError) as error:
        stderr.write(f'no status from {ip}:{port}: {error!r}\n')
        return EXIT_FAILED
    return 0


def _read_files(files: tuple[Path, ...]) -> Iterator[LogLine]:
    for path in files:
        with path.open(encoding='utf-8', errors='replace') as log:
            yield from filter(None, map(parse_line, log))
    if not files:
        yield from filter(None, map(parse_line, stdin))


async def _fetch_beliefs(ip: str, port: int) -> str:
    request = encode_request_head(
        b'GET', STATUS_PATH, [(b'Host', ip.encode())], 0
    )
    pool = ClientPool(ip, port)
    async with timeout(RESPONSE_TIMEOUT_S):
        response = await pool.fetch(request, MAX_STATUS_BYTES)
    pool.close()
    if response.head.status != HTTPStatus.OK:
        raise ConnectionError(
            f'expected status 200, got {response.head.status}'
        )
    return format_json(response.content).decode()
