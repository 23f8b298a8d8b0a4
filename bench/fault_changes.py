"""Run cells of the fault matrix at the steps of a change of targets.

Each ``reach_*`` function submits a change, returns when it has come to its
step, and sets the host at which the fault is injected.
"""

from asyncio import Task as AsyncioTask
from asyncio import create_task, gather, sleep
from collections.abc import Callable, Coroutine
from time import monotonic
from typing import Any, Final

from bench.fault_checks import check_budget, check_targets, describe
from bench.fault_fleet import FaultFleet
from bench.fault_table import FaultContext, inject_all
from bench.hosts import Host
from bench.operators import (
    AdminUnavailableError,
    Submission,
    next_share,
    read_targets,
    submit,
)
from bench.processes import NotReadyError, poll_until
from bergamotshunt.registries import Registry
from standins.link import Gate, TcpLink

STEP_TIMEOUT_S: Final = 4
# A change is promised to be in force at all daemons within this time.
IN_FORCE_TIMEOUT_S: Final = 6
# Time from the injection of the faults until the held bytes continue. The
# faults last longer, until the fleet is restored.
RELEASE_DELAY_S: Final = 0.1
# Statuses that mean that the submission of the bench was malformed.
MALFORMED_STATUSES: Final = (400, 401, 403, 404, 405, 422)
TXN_PATH: Final = b'/v3/kv/txn'
TXN_RESPONSE_MARKER: Final = b'"succeeded"'
# Start of the paths of both pushes and pulls between daemons.
TARGETS_PATH: Final = b'/bergamotshunt/targets'


class ChangeRun:
    """A change of targets, with the link gates that hold it at a step.

    Attributes:
        entry: Host of the daemon that the change is submitted to.
        faulty_host: Host at which the fault is injected.
        share: Measuring share that the change sets.
        gates: Host to which the link of each gate belongs.
        submission_task: Waits for the response to the submission.
    """

    def __init__(self, fleet: FaultFleet) -> None:
        """Create a change to submit at the first daemon."""
        self.fleet = fleet
        self.entry = fleet.hosts[0]
        self.faulty_host = fleet.hosts[1]
        self.share = next_share(fleet)
        self.gates: dict[Gate, Host] = {}
        self.submission_task: AsyncioTask[Submission]

    def hold(
        self, link: TcpLink, host: Host, direction: str, marker: bytes
    ) -> None:
        """Hold the bytes with a marker on a link of a host."""
        self.gates[link.add_gate(direction, marker)] = host

    async def submit(self) -> None:
        """Start the submission without waiting for its response.

        Raises:
            AdminUnavailableError: The targets cannot be read.
        """
        current_targets = await read_targets(self.fleet, self.entry)
        if current_targets is None:
            raise AdminUnavailableError(
                f'{self.entry.name}: GET /v1/targets did not return the targets'
            )
        self.submission_task = create_task(
            submit(self.fleet, self.entry, self.share, *current_targets)
        )

    async def wait_held(self) -> None:
        """Wait until a gate holds bytes; its host becomes the faulty one.

        Raises:
            NotReadyError: No gate held bytes in time.
        """

        async def check() -> bool:
            for gate, host in self.gates.items():
                if gate.held.is_set():
                    self.faulty_host = host
                    return True
            return False

        await poll_until(
            check, STEP_TIMEOUT_S, 'the change did not reach the step'
        )


ReachStep = Callable[[ChangeRun], Coroutine[Any, Any, None]]
CHANGE_STEPS: Final[Registry[ReachStep]] = Registry('step of a change')


@CHANGE_STEPS.register('submitted')
async def reach_submitted(change: ChangeRun) -> None:
    """Submit the change and hold its write on the way to the platform."""
    change.faulty_host = change.entry
    link = change.fleet.platform_links[change.entry.name]
    change.hold(link, change.entry, 'to', TXN_PATH)
    await change.submit()
    await change.wait_held()


@CHANGE_STEPS.register('written')
async def reach_written(change: ChangeRun) -> None:
    """Submit the change and hold the response of the platform to its write."""
    link = change.fleet.platform_links[change.entry.name]
    change.hold(link, change.entry, 'from', TXN_RESPONSE_MARKER)
    await change.submit()
    await change.wait_held()


@CHANGE_STEPS.register('answered')
async def reach_answered(change: ChangeRun) -> None:
    """Submit the change and wait until the operator has the response."""
    await change.submit()
    await change.submission_task
    change.faulty_host = change.entry


@CHANGE_STEPS.register('read')
async def reach_read(change: ChangeRun) -> None:
    """Submit the change and hold what the platform sends to other daemons."""
    for host in change.fleet.hosts[1:]:
        link = change.fleet.platform_links[host.name]
        # The empty marker is in all bytes.
        change.hold(link, host, 'from', b'')
    await change.submit()
    await change.wait_held()


@CHANGE_STEPS.register('relayed')
async def reach_relayed(change: ChangeRun) -> None:
    """Submit the change and hold a push or pull between daemons."""
    for host in change.fleet.hosts:
        link = change.fleet.peer_links[host.name]
        change.hold(link, host, 'to', TARGETS_PATH)
    await change.submit()
    await change.wait_held()


@CHANGE_STEPS.register('in force')
async def reach_in_force(change: ChangeRun) -> None:
    """Submit the change and wait until it is in force at all daemons."""
    await change.submit()
    submission = await change.submission_task
    await wait_in_force(change.fleet, submission.share)


async def wait_in_force(fleet: FaultFleet, share: float) -> None:
    """Wait until a measuring share is in force at all daemons.

    Raises:
        NotReadyError: It was not within ``IN_FORCE_TIMEOUT_S``.
    """

    async def check() -> bool:
        return await read_shares(fleet) == {share}

    await poll_until(
        check, IN_FORCE_TIMEOUT_S, f'measuring share {share} was not in force'
    )


async def read_shares(fleet: FaultFleet) -> set[float]:
    """Return the measuring shares in force at the daemons.

    A daemon that does not respond has the share -1.
    """
    responses = await gather(
        *(read_targets(fleet, host) for host in fleet.hosts)
    )
    return {item[1]['measuring_share'] if item else -1 for item in responses}


async def run_change_cell(
    fleet: FaultFleet, faults: tuple[str, ...], step: str, _name: str
) -> dict[str, str]:
    """Inject faults at a step of a change and check the properties.

    Args:
        fleet: The fleet.
        faults: Names of the faults.
        step: Name of the step.

    Returns:
        The violations by property; empty text where it holds.

    Raises:
        AdminUnavailableError: The targets cannot be read.
        TimeoutError: The change did not reach the step.
    """
    change = ChangeRun(fleet)
    submission_count = len(fleet.submissions)
    try:
        await CHANGE_STEPS.get(step)(change)
        context = FaultContext(fleet, change.entry, change.faulty_host)
        await inject_all(faults, context)
        await sleep(RELEASE_DELAY_S)
    finally:
        fleet.open_all_gates()
    submission = await change.submission_task
    concurrent = fleet.submissions[submission_count:]
    await fleet.restore()
    violations = {'targets': await check_change(fleet, submission, concurrent)}
    violations['measuring budget'] = await check_budget(fleet)
    violations['targets'] = violations['targets'] or await check_targets(fleet)
    return violations


async def check_change(
    fleet: FaultFleet, submission: Submission, concurrent: list[Submission]
) -> str:
    """Return violations of property 7, targets, after the faults have ended.

    All daemons have the same share in force. If changes were accepted, it is
    that of one of them, or of a change of unknown outcome, which may have
    replaced it. A refused change is not in force. Of concurrent changes of
    one revision at most one is accepted. A response that leaves the outcome
    open carries a verdict.

    Args:
        fleet: The fleet.
        submission: Outcome of the change of the cell.
        concurrent: Outcomes of the changes that a fault submitted.
    """
    malformed = [
        item
        for item in (*concurrent, submission)
        if item.status in MALFORMED_STATUSES
    ]
    if malformed:
        return (
            f'the submission was malformed, a fault of the bench: {malformed}'
        )
    accepted = [item.share for item in concurrent if item.accepted]
    if len(accepted) > 1:
        return f'two changes of the same revision were accepted: {concurrent}'
    unknown = {item.share for item in (*concurrent, submission) if item.unknown}
    if submission.accepted:
        accepted.append(submission.share)
    started_at = monotonic()

    async def check() -> bool:
        shares = await read_shares(fleet)
        if len(shares) != 1:
            return False
        return not accepted or bool(shares & {*accepted, *unknown})

    try:
        await poll_until(
            check, IN_FORCE_TIMEOUT_S, 'the change was not in force'
        )
    except NotReadyError:
        shares = await read_shares(fleet)
        took_s = monotonic() - started_at
        return (
            f'after {took_s:.1f} s the shares in force are {shares}, '
            f'with {submission}'
        )
    if submission.status and submission.unknown and not submission.verdict:
        return describe(f'answered without a verdict: {submission}')
    shares = await read_shares(fleet)
    if submission.refused and submission.share in shares:
        return describe(f'refused, but in force: {submission}')
    return ''
