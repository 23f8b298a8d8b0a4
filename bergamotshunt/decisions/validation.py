"""Checks of the targets that an operator states, all errors at once."""

from collections.abc import Callable, Mapping
from math import inf
from re import fullmatch
from typing import Any, Final, NamedTuple

from bergamotshunt.operators.targets import ServiceTargets, Target

METHODS: Final = (
    'DELETE',
    'GET',
    'HEAD',
    'OPTIONS',
    'PATCH',
    'POST',
    'PUT',
)
MAX_TARGETS: Final = 64
MAX_PREFIX_LENGTH: Final = 256
MAX_RESPONSE_MS: Final = 3_600_000
# Above this share the cost of measuring would be felt by callers.
MAX_MEASURING_SHARE: Final = 0.1
MAX_WEIGHT: Final = 1000
REVISION: Final = 'revision'
NAME_PATTERN: Final = '[A-Za-z0-9_-]{1,64}'
PATH_PATTERN: Final = "/[A-Za-z0-9/._~!$&'()*+,;=:@%-]*"


class FieldError(NamedTuple):
    """A value that is not allowed.

    Attributes:
        field: Path of the field, such as ``targets[0].share``.
        detail: What is allowed.
    """

    field: str
    detail: str


class Rule(NamedTuple):
    """What is allowed for one field, and in words."""

    allowed: str
    check: Callable[[Any], bool]


class Checked(NamedTuple):
    """Result of a check; ``service`` is None if there are errors."""

    service: ServiceTargets | None
    errors: tuple[FieldError, ...]


def is_name(found: Any) -> bool:
    """Return whether the value is a name."""
    return isinstance(found, str) and bool(fullmatch(NAME_PATTERN, found))


def is_path_prefix(found: Any) -> bool:
    """Return whether the value can be the start of a path."""
    if not isinstance(found, str) or len(found) > MAX_PREFIX_LENGTH:
        return False
    has_dots = any(part in {'.', '..'} for part in found.split('/'))
    return bool(fullmatch(PATH_PATTERN, found)) and not has_dots


def is_method_list(found: Any) -> bool:
    """Return whether the value is a list of different methods."""
    if not isinstance(found, list) or not found:
        return False
    if not all(isinstance(method, str) for method in found):
        return False
    return set(found) <= set(METHODS) and len(set(found)) == len(found)


def is_flag(found: Any) -> bool:
    """Return whether the value is true or false."""
    return isinstance(found, bool)


def is_number(found: Any, low: float, high: float) -> bool:
    """Return whether the value is a number in a range; a flag is none."""
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return low <= found <= high


def is_duration(found: Any) -> bool:
    """Return whether the value is a whole number of milliseconds."""
    return isinstance(found, int) and is_number(found, 1, MAX_RESPONSE_MS)


def is_revision(found: Any) -> bool:
    """Return whether the value can be a revision."""
    return isinstance(found, int) and is_number(found, 0, inf)


def is_target_list(found: Any) -> bool:
    """Return whether the value is a list of targets, not too long."""
    return isinstance(found, list) and 0 < len(found) <= MAX_TARGETS


NAME_RULE: Final = Rule('a name of up to 64 letters, digits, - and _', is_name)
FLAG_RULE: Final = Rule('true or false', is_flag)

SERVICE_RULES: Final[Mapping[str, Rule]] = {
    'service': NAME_RULE,
    'measuring_share': Rule(
        f'a number from 0 to {MAX_MEASURING_SHARE}',
        lambda found: is_number(found, 0, MAX_MEASURING_SHARE),
    ),
    'targets': Rule(
        f'a list of 1 to {MAX_TARGETS} targets',
        is_target_list,
    ),
    # Accepted so that a document can be read, edited and sent back; the
    # revision that decides is the one in If-Match.
    REVISION: Rule('a whole number from 0', is_revision),
}
TARGET_RULES: Final[Mapping[str, Rule]] = {
    'name': NAME_RULE,
    'methods': Rule(
        f'a list of different methods out of {", ".join(METHODS)}',
        is_method_list,
    ),
    'path_prefix': Rule(
        f'a path that starts with /, of up to {MAX_PREFIX_LENGTH} characters, '
        'without . and .. as parts, query or fragment',
        is_path_prefix,
    ),
    'idempotent': FLAG_RULE,
    'answered_within_ms': Rule(
        f'a whole number from 1 to {MAX_RESPONSE_MS}',
        is_duration,
    ),
    'share': Rule(
        'a number from 0 to 1',
        lambda found: is_number(found, 0, 1),
    ),
    'weight': Rule(
        f'a number from 0 to {MAX_WEIGHT}',
        lambda found: is_number(found, 0, MAX_WEIGHT),
    ),
    'internal': FLAG_RULE,
}


def check_service(document: Any, service: str) -> Checked:
    """Check the targets document of a service.

    Args:
        document: Decoded JSON.
        service: Name of the service from the path of the request.

    Returns:
        The targets, or all errors.
    """
    if not isinstance(document, dict):
        error = FieldError('', 'a JSON object is required')
        return Checked(None, (error,))
    errors = check_fields(document, SERVICE_RULES, ('targets',), '')
    named = document.get('service', service)
    if is_name(named) and named != service:
        errors.append(
            FieldError('service', f'must be {service!r} as in the path')
        )
    if not is_name(service):
        errors.append(FieldError('service', NAME_RULE.allowed))
    targets = document.get('targets')
    if isinstance(targets, list) and is_target_list(targets):
        errors.extend(check_targets(targets))
    if errors:
        return Checked(None, tuple(errors))
    return Checked(build_service(document, service), ())


def check_fields(
    document: Mapping[str, Any],
    rules: Mapping[str, Rule],
    required: tuple[str, ...],
    prefix: str,
) -> list[FieldError]:
    """Check the fields of one object."""
    errors = [
        FieldError(prefix + field, 'is required')
        for field in required
        if field not in document
    ]
    for field, found in document.items():
        rule = rules.get(field)
        if rule is None:
            known = ', '.join(rules)
            detail = f'unknown field; known: {known}'
            errors.append(FieldError(prefix + field, detail))
        elif not rule.check(found):
            detail = f'allowed is {rule.allowed}'
            errors.append(FieldError(prefix + field, detail))
    return errors


def check_targets(targets: list[Any]) -> list[FieldError]:
    """Check each target, and that no request belongs to two of them."""
    errors: list[FieldError] = []
    for index, target in enumerate(targets):
        place = f'targets[{index}]'
        if isinstance(target, dict):
            errors.extend(
                check_fields(target, TARGET_RULES, ('name',), f'{place}.')
            )
        else:
            errors.append(FieldError(place, 'must be a JSON object'))
    if errors:
        return errors
    return find_repeats(targets)


def find_repeats(targets: list[dict[str, Any]]) -> list[FieldError]:
    """Find names, and methods with a prefix, that occur twice."""
    errors: list[FieldError] = []
    names: set[str] = set()
    classes: set[tuple[str, str]] = set()
    for index, document in enumerate(targets):
        target = build_target(document)
        place = f'targets[{index}]'
        if target.name in names:
            errors.append(FieldError(f'{place}.name', 'is used before'))
        names.add(target.name)
        own = {(method, target.path_prefix) for method in target.methods}
        if own & classes:
            detail = 'another target has the same method and prefix'
            errors.append(FieldError(f'{place}.path_prefix', detail))
        classes |= own
    return errors


def build_service(document: dict[str, Any], service: str) -> ServiceTargets:
    """Build the targets from a checked document."""
    fields = {**document, 'service': service, REVISION: 0}
    fields['targets'] = tuple(map(build_target, document['targets']))
    return ServiceTargets(**fields)


def build_target(document: dict[str, Any]) -> Target:
    """Build a target from a checked document."""
    fields = dict(document)
    if 'methods' in fields:
        fields['methods'] = tuple(fields['methods'])
    return Target(**fields)
