"""Tests of parsing and validation of settings, and of the settings page."""

from pathlib import Path

import pytest
from returns.pipeline import is_successful
from returns.result import Success

from bergamotshunt.setting_descriptions import DESCRIPTION_BY_SETTING
from bergamotshunt.settings import Settings, parse_settings, read_settings
from bergamotshunt.settings_page import create_settings_page

ROOT = Path(__file__).parents[2]

MINIMAL = """
[daemon]
id = d1
[platform]
urls = http://127.0.0.1:2379
"""


def errors_of(text: str) -> list[str]:
    return [str(error) for error in parse_settings(text).failure()]


def test_minimal_file_is_enough() -> None:
    """Guards against a setting whose default is missing or invalid."""
    settings = parse_settings(MINIMAL).unwrap()
    assert settings.daemon.id == 'd1'
    assert settings.calls == Settings().calls


def test_all_errors_are_reported_at_once() -> None:
    """Guards against validation that stops at the first invalid value."""
    errors = errors_of("""
[daemon]
ip = localhost
callers_port = 70000
colour = blue
[weights]
a = 1
[operators]
ana = short
[calls]
retry_share = much
max_ejected_share = 0.9
""")
    text = '\n'.join(errors)
    for part in (
        "[daemon] ip = 'localhost': expected an IP address",
        "[daemon] callers_port = '70000': expected a number from 0 to 65535",
        '[daemon] colour',
        '[weights]',
        '[operators] ana',
        "[calls] retry_share = 'much'",
        "[calls] max_ejected_share = '0.9': expected a number from 0 to 0.5",
        '[daemon] id',
        '[platform] urls',
    ):
        assert part in text, part
    assert 'short' not in text


@pytest.mark.parametrize(
    'text', ['no section', '[daemon\nid=1', '[a]\nx=1\n[a]\ny=2']
)
def test_broken_syntax_is_an_error(text: str) -> None:
    """Guards against an uncaught exception for a file that is not INI."""
    assert not is_successful(parse_settings(text))


def test_missing_file_is_an_error(tmp_path: Path) -> None:
    """Guards against an uncaught exception for a missing file."""
    assert not is_successful(read_settings(tmp_path / 'absent.ini'))


def test_settings_page_is_current() -> None:
    """Guards against a page that differs from the settings in the code."""
    page = (ROOT / 'docs' / 'settings.md').read_text(encoding='utf-8')
    assert page == create_settings_page()


def test_descriptions_match_settings() -> None:
    """Guards against settings without a description, and the reverse."""
    known = {
        f'{section}.{key}'
        for section, default in Settings._field_defaults.items()
        if section != 'operators'
        for key in default._fields
    }
    assert known == set(DESCRIPTION_BY_SETTING)


@pytest.mark.parametrize('path', sorted((ROOT / 'samples').glob('*.ini')))
def test_samples_are_valid(path: Path) -> None:
    """Guards against samples that the daemon rejects."""
    assert isinstance(read_settings(path), Success), read_settings(path)
