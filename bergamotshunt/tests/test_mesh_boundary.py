"""Tests that only the platform adapter uses names of the platform."""

from pathlib import Path

import bergamotshunt

NAMES = (
    'x-bergamotshunt-',
    "'/-/",
    'kv-',
    'op/config',
    'entry_kind',
    'traffic_split',
    'cold_left_ms',
    'latency_goal_ms',
    'heartbeat_addr',
    'tombstone',
    'bergamotshunt_boot',
    'app_addr',
)
ROOT = Path(bergamotshunt.__file__).parent


def test_only_the_adapter_uses_names_of_the_platform() -> None:
    """Guards against names of the wire format outside the adapter.

    A change of the platform would then affect more than the adapter.
    """
    found = [
        f'{path.relative_to(ROOT)}: {name}'
        for path in ROOT.rglob('*.py')
        if not {'platform', 'tests'} & set(path.relative_to(ROOT).parts)
        for name in NAMES
        if name in path.read_text(encoding='utf-8').lower()
    ]
    assert found == []


def test_adapter_uses_all_listed_names() -> None:
    """Guards against a list of names that are no longer in use.

    The test above would pass without checking anything.
    """
    source = '\n'.join(
        path.read_text(encoding='utf-8').lower()
        for path in (ROOT / 'platform').glob('*.py')
    )
    # The adapter does not use "heartbeat_addr", but no other part may either.
    missing = [name for name in NAMES if name not in source]
    assert missing in ([], ['heartbeat_addr'])
