"""Marks the tests that KNOWN-RED.txt lists, so that CI passes over them."""

import pytest

from bench.known_red import KNOWN_RED_PATH, read_known_red


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Let listed tests fail; the summary prints each with its result."""
    known = read_known_red(config.rootpath / KNOWN_RED_PATH).tests
    for item in items:
        name = getattr(item, 'originalname', item.name)
        if name in known:
            item.add_marker(pytest.mark.xfail(reason='known red', strict=False))
