"""Tables that the operator commands print."""

from datetime import UTC, datetime
from typing import Any, Final

from rich.table import Table

MS_PER_S: Final = 1000
# Sections of the status that have rows or a table of their own.
HIDDEN_SECTIONS: Final = frozenset(('targets', 'members', 'daemon'))


def create_services_table(document: dict[str, Any]) -> Table:
    """Create the table of all services."""
    table = Table(title=f'targets at revision {document["revision"]}')
    for heading in ('service', 'revision', 'targets'):
        table.add_column(heading)
    for service in document['services']:
        names = [target['name'] for target in service['targets']]
        table.add_row(
            service['service'],
            str(service['revision']),
            ', '.join(names),
        )
    return table


def create_service_table(document: dict[str, Any]) -> Table:
    """Create the table of one service's targets."""
    table = Table(
        title=f'{document["service"]} at revision {document["revision"]}, '
        f'measuring share {document["measuring_share"]}',
    )
    for heading in (
        'name',
        'methods',
        'prefix',
        'idempotent',
        'answered within',
        'share',
        'weight',
        'internal',
    ):
        table.add_column(heading)
    for target in document['targets']:
        table.add_row(
            target['name'],
            ' '.join(target['methods']),
            target['path_prefix'],
            format_flag(target['idempotent']),
            f'{target["answered_within_ms"]} ms',
            str(target['share']),
            str(target['weight']),
            format_flag(target['internal']),
        )
    return table


def create_history_table(document: dict[str, Any]) -> Table:
    """Create the table of changes."""
    title = f'changes up to revision {document["revision"]}'
    if not document['complete']:
        title = f'{title} (platform unreachable: cached changes only)'
    table = Table(title=title)
    for heading in ('revision', 'when', 'who', 'service', 'what', 'why'):
        table.add_column(heading)
    for change in document['changes']:
        table.add_row(
            str(change['revision']),
            format_time(change['accepted_at']),
            change['operator'],
            change['service'],
            describe_change(change),
            change['reason'],
        )
    return table


def create_status_tables(document: dict[str, Any]) -> list[Table]:
    """Create the tables of a daemon's status."""
    targets = document.get('targets', {})
    table = Table('what', 'state', title=f'daemon {document["daemon"]}')
    table.add_row('revision in force', str(targets.get('revision')))
    table.add_row('serves', describe_confirmation(targets))
    age_s = targets.get('confirmation_age_ms', 0) / MS_PER_S
    table.add_row('confirmed', f'{age_s:.1f} s ago')
    table.add_row('members known', str(targets.get('members_known')))
    table.add_row('members behind', str(targets.get('members_behind')))
    for name, section in document.items():
        if name not in HIDDEN_SECTIONS:
            table.add_row(name, format_section(section))
    members = Table('member', 'zone', 'service', 'status', 'server')
    for member in document.get('members', ()):
        members.add_row(
            str(member.get('daemon_id')),
            str(member.get('availability_zone')),
            str(member.get('service')),
            str(member.get('status')),
            str(member.get('server_state')),
        )
    return [table, members] if members.rows else [table]


def describe_confirmation(targets: dict[str, Any]) -> str:
    """Return whether the targets are confirmed, and if not, why."""
    if targets.get('confirmed'):
        return 'yes'
    return f'no: {targets.get("detail", "")}'


def describe_change(change: dict[str, Any]) -> str:
    """Describe which targets a change added, removed or modified."""
    before = targets_by_name(change['before'])
    after = targets_by_name(change['after'])
    if change['after'] is None:
        return 'removed'
    if change['before'] is None:
        return f'new: {", ".join(after)}'
    differences = [f'+{name}' for name in after if name not in before]
    differences += [f'-{name}' for name in before if name not in after]
    differences += [
        describe_target_change(name, before[name], after[name])
        for name in after
        if name in before and before[name] != after[name]
    ]
    share_key = 'measuring_share'
    if change['before'][share_key] != change['after'][share_key]:
        differences.append(
            describe_field(share_key, change['before'], change['after'])
        )
    return '; '.join(differences) or 'unchanged'


def describe_target_change(
    name: str,
    before: dict[str, Any],
    after: dict[str, Any],
) -> str:
    """Describe which fields of a target changed."""
    fields = [
        describe_field(field, before, after)
        for field in after
        if before.get(field) != after[field]
    ]
    return f'{name}: {", ".join(fields)}'


def describe_field(
    field: str,
    before: dict[str, Any],
    after: dict[str, Any],
) -> str:
    """Describe the old and the new value of a field."""
    return f'{field} {before.get(field)} -> {after[field]}'


def targets_by_name(service: dict[str, Any] | None) -> dict[str, Any]:
    """Return the targets of a service document by name; none without one."""
    if service is None:
        return {}
    return {target['name']: target for target in service['targets']}


def format_flag(flag: bool) -> str:
    """Format a flag as yes or no."""
    return 'yes' if flag else 'no'


def format_time(at_s: float) -> str:
    """Format a time in UTC.

    Args:
        at_s: Seconds since the epoch.
    """
    return datetime.fromtimestamp(at_s, UTC).strftime('%Y-%m-%d %H:%M:%SZ')


def format_section(section: Any) -> str:
    """Format a section of the status on one line."""
    if isinstance(section, dict):
        return ', '.join(
            f'{key} {format_section(section[key])}' for key in section
        )
    if isinstance(section, bool):
        return format_flag(section)
    return str(section)
