"""The next process of a daemon knows since when its host is a member."""

import asyncio
from functools import partial

from bergamotshunt.decisions.quota_ownership import START_DELAY_S
from bergamotshunt.kernel import Envelope
from bergamotshunt.mesh_messages import MembersChanged
from bergamotshunt.platform.announcements import entry_key
from bergamotshunt.plugins.mesh.quotas import QuotasTask
from bergamotshunt.store.member_record import RECORD_KEY_PREFIX, MemberRecord
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    configuration,
    with_accounts,
)
from standins.mesh_server import respond_with_echo

RESTARTED = 1


def document_with_quota(version: int) -> str:
    """Return a configuration with an account that has a quota."""
    document = configuration(version, READ_ROUTE, BOOKING_ROUTE)
    return with_accounts(document, 'key-1', rate_per_s=100, burst=0)


def record_of(mesh: Mesh) -> float | None:
    """Return what the store has of the host; None without a record."""
    key = f'{RECORD_KEY_PREFIX}{mesh.hosts[RESTARTED].settings.ip}'
    content = mesh.store.read_values(key).get(key)
    return None if content is None else float(content)


def is_written(record: MemberRecord) -> bool:
    return record._written is not None


async def restart(mesh: Mesh) -> 'asyncio.Queue[Envelope]':
    await mesh.hosts[RESTARTED].kernel.stop()
    return await mesh.start_again(RESTARTED, MembersChanged)


async def record_first_members(
    messages: 'asyncio.Queue[Envelope]',
) -> MembersChanged:
    message: MembersChanged = (await messages.get()).message
    return message


def first_grant_s(mesh: Mesh) -> float:
    """Return the boot time from which the restarted daemon may grant."""
    task = mesh.hosts[RESTARTED].kernel.tasks_by_name['quotas']
    assert isinstance(task, QuotasTask)
    view = task._ownership._views[0]
    return view.since_s + view.delay_s


def test_restarted_owner_waits_while_the_one_before_may_grant() -> None:
    """Guards against two daemons that give out the same quota.

    A host joins the fleet and its daemon is restarted at once: an owner
    that was cut off when it joined may still grant.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            await mesh.store.put('op/config', document_with_quota(2))
            await mesh.wait_until(lambda: record_of(mesh) is not None)
            joined_s = record_of(mesh)
            assert joined_s is not None
            members = await record_first_members(await restart(mesh))
            assert members.own_since_s == joined_s
            await mesh.wait_until(lambda: mesh.stored_servers(RESTARTED) == 2)
            assert first_grant_s(mesh) >= joined_s + START_DELAY_S

    asyncio.run(run_scenario())


def test_record_follows_the_entry_through_restarts() -> None:
    """Guards against a wait of each restarted owner before it grants.

    The age of the membership outlasts several processes.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            await mesh.store.put('op/config', document_with_quota(2))
            await mesh.wait_until(lambda: record_of(mesh) is not None)
            joined_s = record_of(mesh)
            for _ in range(2):
                members = await record_first_members(await restart(mesh))
                assert members.own_since_s == joined_s
                record = mesh.fleet(RESTARTED)._own_entry._record
                await mesh.announce(RESTARTED, seq=2)
                await mesh.wait_until(partial(is_written, record))

    asyncio.run(run_scenario())


def test_age_of_a_membership_ends_with_the_lease() -> None:
    """Guards against a record that bridges a time without an entry.

    Other daemons may have become owners meanwhile.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            await mesh.store.put('op/config', document_with_quota(2))
            await mesh.wait_until(lambda: record_of(mesh) is not None)
            joined_s = record_of(mesh) or 0
            await mesh.store.expire_leases()
            await mesh.wait_until(
                lambda: record_of(mesh) not in {None, joined_s}
            )
            assert (record_of(mesh) or 0) > joined_s
            await mesh.store.expire_leases()
            members = await record_first_members(await restart(mesh))
            assert members.own_since_s is None

    asyncio.run(run_scenario())


def test_server_that_leaves_ends_the_membership() -> None:
    """Guards against a process that takes itself for a former member."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            await mesh.store.put('op/config', document_with_quota(2))
            await mesh.wait_until(lambda: record_of(mesh) is not None)
            assert (
                await mesh.announce(RESTARTED, seq=2, state='draining') == 200
            )
            members = await record_first_members(await restart(mesh))
            assert members.own_since_s is None

    asyncio.run(run_scenario())


def test_restart_of_a_daemon_writes_nothing() -> None:
    """Guards against calls to the store that a restart does not need.

    The entry stays under the lease of the process before.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            await mesh.store.put('op/config', document_with_quota(2))
            await mesh.wait_until(lambda: record_of(mesh) is not None)
            key = entry_key(mesh.hosts[RESTARTED].settings.ip)
            writes = len(mesh.store.read_history(key))
            mesh.store.calls.clear()
            await record_first_members(await restart(mesh))
            await mesh.announce(RESTARTED, seq=2)
            await mesh.wait_until(lambda: mesh.is_serving(RESTARTED))
            own = mesh.fleet(RESTARTED)._own_entry
            await mesh.wait_until(lambda: own.renewed_s > 0)
            assert len(mesh.store.read_history(key)) == writes
            assert '/-/kv-lease' not in mesh.store.calls

    asyncio.run(run_scenario())
