"""The settings page of the documentation, made from the settings."""

from collections.abc import Iterator
from typing import Any, Final

from bergamotshunt.setting_descriptions import DESCRIPTION_BY_SETTING
from bergamotshunt.setting_rules import LIMITS, PARSERS, Limit
from bergamotshunt.settings import OPERATORS, Settings

INTRODUCTION: Final = """# Settings

A daemon reads one INI file. `bergamotshunt check FILE` shows everything
that is wrong with it at once, with section, key, value and what is allowed,
and ends with exit code 2. This page is printed by `bergamotshunt settings`.
"""

OPERATORS_SECTION: Final = """
## `[operators]`

One line for each operator: `name = token`. The token has at least 16
characters and identifies the operator at the administration API; it is
compared in constant time and never logged. No default.
"""


def create_settings_page() -> str:
    """Return the page as Markdown."""
    parts = [INTRODUCTION]
    for section in Settings._fields:
        if section != OPERATORS:
            parts.append(f'\n## `[{section}]`\n\n')
            parts.append('| key | default | allowed | meaning |\n')
            parts.append('| --- | --- | --- | --- |\n')
            parts.extend(describe_section(section))
    parts.append(OPERATORS_SECTION)
    return ''.join(parts)


def describe_section(section: str) -> Iterator[str]:
    """Yield a table row for each key of a section."""
    for key, default in Settings._field_defaults[section]._asdict().items():
        setting = f'{section}.{key}'
        _, wanted = PARSERS[type(default)]
        limit = LIMITS.get(setting, Limit(wanted, None))
        meaning = DESCRIPTION_BY_SETTING[setting]
        row = (f'`{key}`', show_default(default), limit.allowed, meaning)
        yield f'| {" | ".join(row)} |\n'


def show_default(default: Any) -> str:
    """Write a default as it would stand in the file."""
    if isinstance(default, bool):
        return 'yes' if default else 'no'
    if isinstance(default, tuple):
        return ', '.join(default)
    return str(default)
