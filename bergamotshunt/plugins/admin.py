"""Administration API for operators, and the metrics endpoint."""

from asyncio import Event
from http import HTTPStatus
from typing import Any, Final
from uuid import uuid4

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from returns.result import Failure, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from bergamotshunt.decisions.validation import check_service
from bergamotshunt.decoding import MalformedInputError, decode_json
from bergamotshunt.http.web import (
    BodyTooLargeError,
    CallerDisconnectedError,
    HttpServer,
    read_request_body,
)
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    NoHandlerError,
    Task,
)
from bergamotshunt.messages import (
    DescribeTask,
    DrainRequested,
    PortBound,
    SubmitChange,
    TargetsChanged,
)
from bergamotshunt.operators.admin_access import (
    MAX_BODY_BYTES,
    OPERATOR_SCOPE_KEY,
    AdminAccessMiddleware,
)
from bergamotshunt.operators.admin_responses import (
    MalformedEtagError,
    create_document_response,
    create_errors_response,
    create_problem_response,
    create_submit_failure_response,
    parse_etag,
)
from bergamotshunt.operators.targets import Change, ServiceTargets, TargetSet
from bergamotshunt.operators.targets_codec import (
    change_to_document,
    service_to_document,
)
from bergamotshunt.operators.targets_messages import (
    ChangeList,
    ListChanges,
    SubmitFailure,
    SubmitFailureKind,
)
from bergamotshunt.peers.headers import BOOKING_KEY
from bergamotshunt.verdicts import create_refusal

HANDLERS: Final = HandlerTable()
IF_MATCH: Final = 'if-match'
REASON_HEADER: Final = 'bergamotshunt-why'
SERVICE: Final = 'service'
SERVICE_PATH: Final = '/v1/targets/{service}'
MAX_REASON_LENGTH: Final = 500
MAX_SUBMISSION_ID_LENGTH: Final = 128
MAX_NUMBER_DIGITS: Final = 16
MAX_LISTED_CHANGES: Final = 1000
DEFAULT_LISTED_CHANGES: Final = 100
# A submission makes several attempts, and each attempt makes calls that
# can take as long as the platform's timeout.
SUBMIT_TIMEOUT_S: Final = 30


OUTCOME_UNKNOWN: Final = SubmitFailure(
    SubmitFailureKind.UNKNOWN,
    f'no response to the submission within {SUBMIT_TIMEOUT_S} s, or this '
    'daemon is stopping; submit the change again with the same id at any '
    'daemon to find out',
)


class AdminTask(Task):
    """Owns the admin port."""

    name = 'admin'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        self.target_set: TargetSet | None = None
        self.pending_submissions = 0
        self.idle = Event()
        app = Starlette(
            routes=[
                Route('/v1/status', self.show_status),
                Route('/v1/targets', self.list_targets),
                Route(SERVICE_PATH, self.show_service),
                Route(SERVICE_PATH, self.put_service, methods=['PUT']),
                Route(SERVICE_PATH, self.delete_service, methods=['DELETE']),
                Route('/v1/changes', self.list_changes),
                Route('/v1/drain', self.drain_server, methods=['POST']),
                Route('/metrics', show_metrics),
            ],
        )
        authenticated_app = AdminAccessMiddleware(
            app,
            context.settings.operators,
            context.settings.calls.max_head_bytes,
        )
        self.http = HttpServer(
            authenticated_app,
            context.settings.daemon.ip,
            context.settings.daemon.admin_port,
        )

    async def open(self) -> None:
        """Listen on the admin port."""
        await self.http.open()
        self.bus.publish(PortBound('admin', self.http.port))

    async def drain(self) -> None:
        """Wait for the submissions in progress."""
        while self.pending_submissions:
            self.idle.clear()
            await self.idle.wait()

    async def finish(self) -> None:
        """Stop listening and send the rest of all responses."""
        await self.http.finish()

    async def close(self) -> None:
        """Close the port."""
        await self.http.close()
        await super().close()

    async def show_status(self, _request: Request) -> Response:
        """Return the status of this daemon, merged from all its tasks."""
        status: dict[str, Any] = {'daemon': self.settings.daemon.id}
        for task_status in await self.bus.ask_all(DescribeTask()):
            status.update(task_status)
        return create_document_response(status)

    async def list_targets(self, _request: Request) -> Response:
        """Return the targets in force of all services."""
        target_set = self.target_set
        if target_set is None:
            return create_targets_unknown_response()
        services = sorted(target_set.by_service.items())
        document = {
            'revision': target_set.revision,
            'services': [
                service_to_document(service) for _, service in services
            ],
        }
        return create_document_response(document, revision=target_set.revision)

    async def show_service(self, request: Request) -> Response:
        """Return the targets of one service."""
        if self.target_set is None:
            return create_targets_unknown_response()
        name = request.path_params[SERVICE]
        service = self.target_set.by_service.get(name)
        if service is None:
            return create_unknown_service_response(name)
        return create_document_response(
            service_to_document(service),
            revision=service.revision,
        )

    async def put_service(self, request: Request) -> Response:
        """Create or replace the targets of a service."""
        try:
            body = await read_request_body(request.receive, MAX_BODY_BYTES)
            document = decode_json(body, 'the body')
        except BodyTooLargeError as error:
            return create_bad_request_response(
                str(error), HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        except CallerDisconnectedError as error:
            return create_bad_request_response(str(error))
        except MalformedInputError as error:
            return create_bad_request_response(f'the body is not JSON: {error}')
        checked = check_service(document, request.path_params[SERVICE])
        if checked.service is None:
            return create_errors_response(checked.errors)
        return await self.submit(request, checked.service)

    async def delete_service(self, request: Request) -> Response:
        """Remove the targets of a service."""
        return await self.submit(request, None)

    async def submit(
        self,
        request: Request,
        after: ServiceTargets | None,
    ) -> Response:
        """Submit a change and return its outcome.

        Args:
            request: Request whose headers describe the submission.
            after: New targets of the service; None removes them.
        """
        match_text = request.headers.get(IF_MATCH)
        submission_id = request.headers.get(BOOKING_KEY) or uuid4().hex
        reason = decode_utf8_header(request.headers.get(REASON_HEADER, ''))
        if (
            not is_valid_submission_id(submission_id)
            or len(reason) > MAX_REASON_LENGTH
        ):
            return create_bad_request_response(
                'the submission id must be printable ASCII of at most '
                f'{MAX_SUBMISSION_ID_LENGTH} characters, and the reason at '
                f'most {MAX_REASON_LENGTH} characters long; got an id of '
                f'{len(submission_id)} and a reason of {len(reason)}',
            )
        try:
            revision = 0 if match_text is None else parse_etag(match_text)
        except MalformedEtagError:
            return create_bad_request_response(
                f'If-Match must be a tag such as "12", not {match_text!r}'
            )
        outcome = await self.submit_change(
            SubmitChange(
                service=request.path_params[SERVICE],
                after=after,
                expected_revision=revision,
                operator=request.scope[OPERATOR_SCOPE_KEY],
                reason=reason,
                submission_id=submission_id,
            ),
        )
        match outcome:
            case Failure(failure):
                return create_submit_failure_response(
                    failure, submission_id, match_text is None
                )
        change = outcome.unwrap()
        return create_document_response(
            change_to_document(change),
            HTTPStatus.CREATED if change.before is None else HTTPStatus.OK,
            change.revision,
        )

    async def submit_change(
        self,
        message: SubmitChange,
    ) -> Result[Change, SubmitFailure]:
        """Submit a change; without a reply, its outcome is unknown."""
        self.pending_submissions += 1
        try:
            outcome: Result[Change, SubmitFailure] = await self.bus.ask(
                message,
                SUBMIT_TIMEOUT_S,
            )
        except (TimeoutError, NoHandlerError):
            return Failure(OUTCOME_UNKNOWN)
        finally:
            self.pending_submissions -= 1
            if not self.pending_submissions:
                self.idle.set()
        return outcome

    async def list_changes(self, request: Request) -> Response:
        """Return the requested part of the audit trail."""
        numbers_by_name = {'after': -1, 'limit': DEFAULT_LISTED_CHANGES}
        for name, text in request.query_params.items():
            is_number = text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
            if name not in numbers_by_name or not is_number:
                return create_bad_request_response(
                    'the query may contain only after=REVISION and '
                    f'limit=NUMBER, not {name}={text}',
                )
            numbers_by_name[name] = int(text)
        if not 0 < numbers_by_name['limit'] <= MAX_LISTED_CHANGES:
            return create_bad_request_response(
                f'limit must be from 1 to {MAX_LISTED_CHANGES}, '
                f'not {numbers_by_name["limit"]}'
            )
        listed: ChangeList = await self.bus.ask(
            ListChanges(numbers_by_name['after'], numbers_by_name['limit']),
        )
        document = {
            'revision': listed.revision,
            'complete': listed.complete,
            'changes': [
                change_to_document(change) for change in listed.changes
            ],
        }
        return create_document_response(document, revision=listed.revision)

    async def drain_server(self, _request: Request) -> Response:
        """Start to drain the backend server and its daemon."""
        self.bus.publish(DrainRequested())
        return create_document_response({'draining': True}, HTTPStatus.ACCEPTED)


def is_valid_submission_id(text: str) -> bool:
    """Return whether the text is a valid submission id."""
    return (
        len(text) <= MAX_SUBMISSION_ID_LENGTH
        and text.isascii()
        and text.isprintable()
    )


def decode_utf8_header(header: str) -> str:
    """Decode a header value as UTF-8; the HTTP server reads Latin-1."""
    return header.encode('latin-1').decode(errors='replace')


async def show_metrics(_request: Request) -> Response:
    """Return the metrics in the Prometheus text format."""
    return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)


def create_targets_unknown_response() -> Response:
    """Create the response of a daemon that knows no targets yet."""
    return create_problem_response(
        create_refusal(
            'unconfirmed',
            'this daemon has not loaded the targets yet; try again',
        ),
    )


def create_unknown_service_response(service: str) -> Response:
    """Create the response for a service without targets."""
    return create_problem_response(
        create_refusal(
            'unknown-service',
            f'no targets are set for the service {service!r}',
            HTTPStatus.NOT_FOUND,
        ),
    )


def create_bad_request_response(
    detail: str,
    status: HTTPStatus = HTTPStatus.BAD_REQUEST,
) -> Response:
    """Create the response to a malformed request."""
    return create_problem_response(create_refusal('malformed', detail, status))


@HANDLERS.on(TargetsChanged)
def update_targets(task: AdminTask, message: TargetsChanged) -> None:
    """Store the targets in force."""
    task.target_set = message.target_set


@PLUGINS.register('admin')
def create_admin(context: Context) -> AdminTask:
    """Create the admin task."""
    return AdminTask(context)
