"""Store keys and JSON documents of the targets."""

from typing import Final

from msgspec.json import encode

from bergamotshunt.decisions.validation import check_stored_service
from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_json,
)
from bergamotshunt.operators.targets import (
    Change,
    ChangeDocument,
    ServiceDocument,
    ServiceTargets,
    Target,
    TargetDocument,
)
from bergamotshunt.value_checks import check_integer

TARGETS_PREFIX: Final = 'targets/'
# Holds the newest change itself, so that a watch needs no further read.
HEAD_KEY: Final = 'targets/head'
SERVICES_PREFIX: Final = 'targets/services/'
CHANGES_PREFIX: Final = 'changes/'
SUBMISSIONS_PREFIX: Final = 'submissions/'


def service_key(service: str) -> str:
    """Return the store key of a service's targets."""
    return SERVICES_PREFIX + service


def change_key(revision: int) -> str:
    """Return the store key of a change; keys sort by revision."""
    return f'{CHANGES_PREFIX}{revision:012d}'


def submission_key(operator: str, submission_id: str) -> str:
    """Return the store key of the revision that a submission created."""
    return f'{SUBMISSIONS_PREFIX}{operator}/{submission_id}'


def target_to_document(target: Target) -> TargetDocument:
    """Convert a target to its JSON document."""
    return TargetDocument(
        name=target.name,
        methods=list(target.methods),
        path_prefix=target.path_prefix,
        idempotent=target.idempotent,
        answered_within_ms=target.answered_within_ms,
        share=target.share,
        weight=target.weight,
        internal=target.internal,
    )


def service_to_document(service: ServiceTargets) -> ServiceDocument:
    """Convert the targets of a service to their JSON document."""
    return ServiceDocument(
        service=service.service,
        measuring_share=service.measuring_share,
        targets=[target_to_document(target) for target in service.targets],
        revision=service.revision,
    )


def service_from_document(document: ServiceDocument) -> ServiceTargets:
    """Convert a JSON document to the targets of a service.

    Raises:
        MalformedInputError: A field is missing or has a value that is not
            allowed.
    """
    errors = check_stored_service(document)
    if errors:
        raise MalformedInputError(f'{errors[0].field} {errors[0].detail}')
    fields = dict(document)
    fields['targets'] = tuple(
        map(target_from_document, document.get('targets', ()))
    )
    return ServiceTargets(**fields)  # type: ignore[arg-type]


def target_from_document(document: TargetDocument) -> Target:
    """Convert a JSON document to a target."""
    fields = dict(document)
    if 'methods' in document:
        fields['methods'] = tuple(document['methods'])
    return Target(**fields)  # type: ignore[arg-type]


def change_to_document(change: Change) -> ChangeDocument:
    """Convert a change to its JSON document."""
    before = change.before and service_to_document(change.before)
    after = change.after and service_to_document(change.after)
    return ChangeDocument(
        revision=change.revision,
        service=change.service,
        before=before,
        after=after,
        operator=change.operator,
        reason=change.reason,
        submission_id=change.submission_id,
        accepted_at=change.accepted_at,
    )


def change_from_document(document: ChangeDocument) -> Change:
    """Convert a JSON document to a change.

    Raises:
        MalformedInputError: A field is missing or has a value that is not
            allowed.
    """
    with convert_malformed('change of targets'):
        revision = check_integer('revision', document['revision'], 1)
    before = document['before']
    after = document['after']
    return Change(
        revision=revision,
        service=document['service'],
        before=None if before is None else service_from_document(before),
        after=None if after is None else service_from_document(after),
        operator=document['operator'],
        reason=document['reason'],
        submission_id=document['submission_id'],
        accepted_at=document['accepted_at'],
    )


def encode_change(change: Change) -> bytes:
    """Encode a change as JSON, as the platform stores it."""
    return encode(change_to_document(change))


def decode_change(content: bytes) -> Change:
    """Decode a change from JSON.

    Raises:
        MalformedInputError: The content is not the document of a change.
    """
    return change_from_document(
        decode_json(content, 'change of targets', ChangeDocument)
    )


def encode_service(service: ServiceTargets) -> bytes:
    """Encode a service's targets as JSON, as the platform stores them."""
    return encode(service_to_document(service))


def decode_service(content: bytes) -> ServiceTargets:
    """Decode a service's targets from JSON.

    Raises:
        MalformedInputError: The content is not the document of a service.
    """
    return service_from_document(
        decode_json(content, 'targets of a service', ServiceDocument)
    )
