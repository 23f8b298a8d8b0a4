"""Commands for who looks after a mesh: explain and beliefs."""

from asyncio import run, timeout
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path
from sys import stderr, stdin, stdout
from typing import Final

from msgspec.json import format as format_json

from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.operators.explaining import Line, explain, read_line

RESPONSE_TIMEOUT_S: Final = 5
MAX_BYTES: Final = 16_777_216
EXIT_NOT_FOUND: Final = 1
STATUS_PATH: Final = b'/status'


def explain_request(request_id: str, files: tuple[Path, ...]) -> int:
    """Print the lines of a request and the cause of its failure.

    Returns:
        The exit code: 0 when lines were found.
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
    return 0 if selected else EXIT_NOT_FOUND


def show_beliefs(ip: str, port: int) -> int:
    """Print what a daemon believes, with the age of each belief.

    Returns:
        The exit code: 0 when the daemon answered.
    """
    try:
        stdout.write(f'{run(_fetch_beliefs(ip, port))}\n')
    except (ConnectionError, TimeoutError) as error:
        stderr.write(f'{ip}:{port} does not answer: {error!r}\n')
        return EXIT_NOT_FOUND
    return 0


def _read_files(files: tuple[Path, ...]) -> Iterator[Line]:
    for path in files:
        with path.open(encoding='utf-8', errors='replace') as log:
            yield from filter(None, map(read_line, log))
    if not files:
        yield from filter(None, map(read_line, stdin))


async def _fetch_beliefs(ip: str, port: int) -> str:
    request = encode_request_head(
        b'GET', STATUS_PATH, [(b'Host', ip.encode())], 0
    )
    pool = ClientPool(ip, port)
    async with timeout(RESPONSE_TIMEOUT_S):
        response = await pool.fetch(request, MAX_BYTES)
    pool.close()
    if response.head.status != HTTPStatus.OK:
        raise ConnectionError(f'status {response.head.status}')
    return format_json(response.content).decode()
