"""Validation of an operator's targets document; reports all errors."""

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
# A larger share of the slots for probes would slow down callers.
MAX_MEASURING_SHARE: Final = 0.1
MAX_WEIGHT: Final = 1000
REVISION_FIELD: Final = 'revision'
NAME_PATTERN: Final = '[A-Za-z0-9_-]{1,64}'
PATH_PATTERN: Final = "/[A-Za-z0-9/._~!$&'()*+,;=:@%-]*"


class FieldError(NamedTuple):
    """An invalid field of a document.

    Attributes:
        field: Path of the field, such as ``targets[0].share``.
        detail: What was expected.
    """

    field: str
    detail: str


class Rule(NamedTuple):
    """Check of one field.

    Attributes:
        allowed: Description of the valid values.
        check: Returns whether a value is valid.
    """

    allowed: str
    check: Callable[[Any], bool]


class ValidationResult(NamedTuple):
    """Result of validation; ``service`` is None if there are errors."""

    service: ServiceTargets | None
    errors: tuple[FieldError, ...]


def is_name(candidate: Any) -> bool:
    """Return whether the value is a valid name."""
    return isinstance(candidate, str) and bool(
        fullmatch(NAME_PATTERN, candidate)
    )


def is_path_prefix(candidate: Any) -> bool:
    """Return whether the value is a valid path prefix."""
    if not isinstance(candidate, str) or len(candidate) > MAX_PREFIX_LENGTH:
        return False
    has_dots = any(part in {'.', '..'} for part in candidate.split('/'))
    return bool(fullmatch(PATH_PATTERN, candidate)) and not has_dots


def is_method_list(candidate: Any) -> bool:
    """Return whether the value is a list of distinct HTTP methods."""
    if not isinstance(candidate, list) or not candidate:
        return False
    if not all(isinstance(method, str) for method in candidate):
        return False
    return set(candidate) <= set(METHODS) and len(set(candidate)) == len(
        candidate
    )


def is_boolean(candidate: Any) -> bool:
    """Return whether the value is a boolean."""
    return isinstance(candidate, bool)


def is_number(candidate: Any, low: float, high: float) -> bool:
    """Return whether the value is a number in a range and no boolean."""
    if isinstance(candidate, bool) or not isinstance(candidate, int | float):
        return False
    return low <= candidate <= high


def is_duration(candidate: Any) -> bool:
    """Return whether the value is a valid duration in whole ms."""
    return isinstance(candidate, int) and is_number(
        candidate, 1, MAX_RESPONSE_MS
    )


def is_revision(candidate: Any) -> bool:
    """Return whether the value is a non-negative whole number."""
    return isinstance(candidate, int) and is_number(candidate, 0, inf)


def is_target_list(candidate: Any) -> bool:
    """Return whether the value is a list of a valid length."""
    return isinstance(candidate, list) and 0 < len(candidate) <= MAX_TARGETS


NAME_RULE: Final = Rule('a name of up to 64 letters, digits, - and _', is_name)
BOOLEAN_RULE: Final = Rule('true or false', is_boolean)

SERVICE_RULES: Final[Mapping[str, Rule]] = {
    'service': NAME_RULE,
    'measuring_share': Rule(
        f'a number from 0 to {MAX_MEASURING_SHARE}',
        lambda candidate: is_number(candidate, 0, MAX_MEASURING_SHARE),
    ),
    'targets': Rule(
        f'a list of 1 to {MAX_TARGETS} targets',
        is_target_list,
    ),
    # Ignored, as If-Match carries the expected revision; accepted so that
    # a document can be read, edited and sent back.
    REVISION_FIELD: Rule('a whole number from 0', is_revision),
}
TARGET_RULES: Final[Mapping[str, Rule]] = {
    'name': NAME_RULE,
    'methods': Rule(
        f'a list of distinct methods out of {", ".join(METHODS)}',
        is_method_list,
    ),
    'path_prefix': Rule(
        f'a path that starts with /, of up to {MAX_PREFIX_LENGTH} characters, '
        'without . and .. segments, query or fragment',
        is_path_prefix,
    ),
    'idempotent': BOOLEAN_RULE,
    'answered_within_ms': Rule(
        f'a whole number from 1 to {MAX_RESPONSE_MS}',
        is_duration,
    ),
    'share': Rule(
        'a number from 0 to 1',
        lambda candidate: is_number(candidate, 0, 1),
    ),
    'weight': Rule(
        f'a number from 0 to {MAX_WEIGHT}',
        lambda candidate: is_number(candidate, 0, MAX_WEIGHT),
    ),
    'internal': BOOLEAN_RULE,
}


def check_service(document: Any, service: str) -> ValidationResult:
    """Validate the targets document of a service.

    Args:
        document: Decoded JSON.
        service: Name of the service from the path of the request.

    Returns:
        The targets, or all errors.
    """
    if not isinstance(document, dict):
        error = FieldError('', 'a JSON object is required')
        return ValidationResult(None, (error,))
    errors = check_fields(document, SERVICE_RULES, ('targets',), '')
    stated_service = document.get('service', service)
    if is_name(stated_service) and stated_service != service:
        errors.append(
            FieldError(
                'service',
                f'is {stated_service!r} but must be {service!r} as in the path',
            )
        )
    if not is_name(service):
        errors.append(FieldError('service', NAME_RULE.allowed))
    targets = document.get('targets')
    if isinstance(targets, list) and is_target_list(targets):
        errors.extend(check_targets(targets))
    if errors:
        return ValidationResult(None, tuple(errors))
    return ValidationResult(build_service(document, service), ())


def check_stored_service(document: Mapping[str, Any]) -> list[FieldError]:
    """Validate the fields of a targets document that was accepted before.

    The rules that only a new document must meet, such as distinct names, are
    not checked.

    Args:
        document: Decoded JSON whose fields have the documented types.
    """
    errors = check_fields(document, SERVICE_RULES, ('service',), '')
    errors = [error for error in errors if error.field != 'targets']
    for index, target in enumerate(document.get('targets', ())):
        prefix = f'targets[{index}].'
        errors.extend(check_fields(target, TARGET_RULES, ('name',), prefix))
    return errors


def check_fields(
    document: Mapping[str, Any],
    rules: Mapping[str, Rule],
    required: tuple[str, ...],
    prefix: str,
) -> list[FieldError]:
    """Validate the fields of one object.

    Args:
        document: The object.
        rules: Rules by field name.
        required: Names of the fields that must be present.
        prefix: Path of the object, put in front of each field name.
    """
    errors = [
        FieldError(prefix + field, 'is required')
        for field in required
        if field not in document
    ]
    for field, candidate in document.items():
        rule = rules.get(field)
        if rule is None:
            known = ', '.join(rules)
            detail = f'unknown field; expected one of: {known}'
            errors.append(FieldError(prefix + field, detail))
        elif not rule.check(candidate):
            detail = f'must be {rule.allowed}'
            errors.append(FieldError(prefix + field, detail))
    return errors


def check_targets(targets: list[Any]) -> list[FieldError]:
    """Validate each target, and that no two targets match the same route."""
    errors: list[FieldError] = []
    for index, target in enumerate(targets):
        field_path = f'targets[{index}]'
        if isinstance(target, dict):
            errors.extend(
                check_fields(target, TARGET_RULES, ('name',), f'{field_path}.')
            )
        else:
            errors.append(FieldError(field_path, 'must be a JSON object'))
    if errors:
        return errors
    return find_duplicates(targets)


def find_duplicates(targets: list[dict[str, Any]]) -> list[FieldError]:
    """Find names, and pairs of method and path prefix, that occur twice."""
    errors: list[FieldError] = []
    seen_names: set[str] = set()
    seen_routes: set[tuple[str, str]] = set()
    for index, document in enumerate(targets):
        target = build_target(document)
        field_path = f'targets[{index}]'
        if target.name in seen_names:
            errors.append(
                FieldError(
                    f'{field_path}.name',
                    f'{target.name!r} is the name of an earlier target',
                )
            )
        seen_names.add(target.name)
        routes = {(method, target.path_prefix) for method in target.methods}
        if routes & seen_routes:
            detail = 'an earlier target has the same method and path prefix'
            errors.append(FieldError(f'{field_path}.path_prefix', detail))
        seen_routes |= routes
    return errors


def build_service(document: dict[str, Any], service: str) -> ServiceTargets:
    """Build a service's targets from a valid document."""
    fields = {**document, 'service': service, REVISION_FIELD: 0}
    fields['targets'] = tuple(map(build_target, document['targets']))
    return ServiceTargets(**fields)


def build_target(document: dict[str, Any]) -> Target:
    """Build a target from a valid document."""
    fields = dict(document)
    if 'methods' in fields:
        fields['methods'] = tuple(fields['methods'])
    return Target(**fields)
