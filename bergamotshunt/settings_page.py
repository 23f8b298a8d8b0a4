"""Generator of the documentation page that lists all settings."""

from collections.abc import Iterator
from typing import Any, Final

from bergamotshunt.setting_descriptions import DESCRIPTION_BY_SETTING
from bergamotshunt.setting_rules import (
    PARSERS_BY_TYPE,
    RULES_BY_SETTING,
    SettingRule,
)
from bergamotshunt.settings import OPERATORS_SECTION, Settings

INTRODUCTION: Final = """# Settings

A daemon reads one INI file. `bergamotshunt check FILE` shows everything
that is wrong with it at once, with section, key, value and what is allowed,
and ends with exit code 2. This page is printed by `bergamotshunt settings`.
"""

OPERATORS_TEXT: Final = """
## `[operators]`

One line for each operator: `name = token`. The token has at least 16
characters and identifies the operator at the administration API; it is
compared in constant time and never logged. No default.
"""


def create_settings_page() -> str:
    """Create the page as Markdown."""
    parts = [INTRODUCTION]
    for section in Settings._fields:
        if section != OPERATORS_SECTION:
            parts.append(f'\n## `[{section}]`\n\n')
            parts.append('| key | default | allowed | meaning |\n')
            parts.append('| --- | --- | --- | --- |\n')
            parts.extend(create_section_rows(section))
    parts.append(OPERATORS_TEXT)
    return ''.join(parts)


def create_section_rows(section: str) -> Iterator[str]:
    """Yield a table row for each key of a section."""
    for key, default in Settings._field_defaults[section]._asdict().items():
        setting = f'{section}.{key}'
        _, type_description = PARSERS_BY_TYPE[type(default)]
        rule = RULES_BY_SETTING.get(
            setting, SettingRule(type_description, None)
        )
        meaning = DESCRIPTION_BY_SETTING[setting]
        row = (f'`{key}`', format_default(default), rule.allowed, meaning)
        yield f'| {" | ".join(row)} |\n'


def format_default(default: Any) -> str:
    """Format a default as it is written in an INI file."""
    if isinstance(default, bool):
        return 'yes' if default else 'no'
    if isinstance(default, tuple):
        return ', '.join(default)
    return str(default)
