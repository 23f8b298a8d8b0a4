"""Tests of watches that were pending when the store fell silent."""

import asyncio
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.store_contact import (
    MAX_CALL_GAP_S,
    StoreContact,
    is_watch_lost,
    record_call,
)
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    configuration,
)
from bergamotshunt.plugins.mesh.fleet import WATCH_TIMING
from standins.mesh_server import respond_with_echo

# The users' figure for the time in which a configuration is in force.
CONFIG_APPLY_S = 2.0
# The users' figure for the time after a failure of the store in which a
# configuration may be late.
CONTACT_S = 3.0


def test_configuration_is_in_force_after_a_silence_of_the_store() -> None:
    """Guards against watches that wait for a store that has forgotten them.

    The store accepts the watches of all daemons, falls silent, comes back and
    answers new calls only. One second later the configuration changes.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            mesh.store.fall_silent()
            await asyncio.sleep(2.0)
            mesh.store.silent = False
            await asyncio.sleep(1.0)
            await mesh.store.put(
                'op/config', configuration(2, READ_ROUTE, BOOKING_ROUTE)
            )
            async with asyncio.timeout(CONFIG_APPLY_S):
                await mesh.wait_until(
                    lambda: all(mesh.version(host) == 2 for host in (0, 1))
                )

    asyncio.run(run_scenario())


@pytest.mark.parametrize('quiet_s', [0.2, 4.0])
def test_configuration_is_in_force_after_a_lost_answer(quiet_s: float) -> None:
    """Guards against a watch that waits for an answer that was lost.

    The store answers all other calls, those of the same daemon as well, so
    nothing else tells of the loss.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await asyncio.sleep(quiet_s)
            mesh.store.forget_pending()
            await mesh.store.put(
                'op/config', configuration(2, READ_ROUTE, BOOKING_ROUTE)
            )
            async with asyncio.timeout(CONTACT_S):
                await mesh.wait_until(
                    lambda: all(mesh.version(host) == 2 for host in (0, 1))
                )

    asyncio.run(run_scenario())


def test_configuration_is_read_after_a_loss_of_history() -> None:
    """Guards against a change that an empty answer to a watch skips.

    The store drops its history. Watches hear nothing of a change shortly
    before, but their answers state a revision after it.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            mesh.store.deaf = True
            await mesh.store.put(
                'op/config', configuration(2, READ_ROUTE, BOOKING_ROUTE)
            )
            # Each pending watch ends without a change meanwhile.
            await asyncio.sleep(WATCH_TIMING.wait_ms / 1000 + 0.5)
            mesh.store.deaf = False
            mesh.store.compact()
            async with asyncio.timeout(CONTACT_S):
                await mesh.wait_until(
                    lambda: all(mesh.version(host) == 2 for host in (0, 1))
                )

    asyncio.run(run_scenario())


def test_watches_are_rare_while_the_store_does_not_answer() -> None:
    """Guards against watches that load a store which answers nobody."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            mesh.store.fall_silent()
            await asyncio.sleep(1.0)
            mesh.store.calls.clear()
            await asyncio.sleep(8.0)
            watches = mesh.store.calls.count('/-/kv-watch')
            # Two watches, each asked again after 1.5, 3 and 6 s and more.
            assert watches <= 6

    asyncio.run(run_scenario())


def test_new_server_is_seen_after_a_silence_of_the_store() -> None:
    """Guards against a view of the fleet that stays as it was in a silence.

    All leases expire while the store is silent; the daemons write their
    entries again, and each has to learn of the other's.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            mesh.store.fall_silent()
            await mesh.store.expire_leases()
            await asyncio.sleep(2.0)
            mesh.store.silent = False
            async with asyncio.timeout(2.0):
                await mesh.wait_until(
                    lambda: len(mesh.store.read_values('')) == 3
                )
            await mesh.wait_until(
                lambda: all(mesh.stored_servers(host) == 2 for host in range(2))
            )

    asyncio.run(run_scenario())


def test_entries_are_read_again_after_an_ended_lease() -> None:
    """Guards against a daemon that was away without a failed call.

    Its lease ended meanwhile, as after a suspension of the host, and its
    watch of the entries is lost.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await asyncio.sleep(1.0)
            mesh.store.forget_pending()
            await mesh.store.expire_leases()
            await mesh.wait_until(
                lambda: (
                    len(mesh.store.read_values('')) == 3
                    and all(mesh.stored_servers(host) == 2 for host in range(2))
                )
            )
            assert mesh.abandoned_watches() > 0

    asyncio.run(run_scenario())


TIMES = st.floats(0, 100)


@given(st.lists(st.tuples(st.floats(0, 4), st.booleans()), max_size=12), TIMES)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_watch_is_lost_only_if_a_later_call_followed_a_failure(
    calls: list[tuple[float, bool]], asked_s: float
) -> None:
    """Guards against watches that are kept or asked again without reason.

    A watch has to be asked again exactly if a call that was sent after it was
    answered, and a call before that one had failed.
    """
    contact = StoreContact()
    now_s = 0.0
    recoveries = [-inf]
    previous_failed = False
    for duration_s, failed in calls:
        sent_s, now_s = now_s, now_s + duration_s
        contact = record_call(contact, sent_s, now_s, failed=failed)
        if previous_failed and not failed:
            recoveries.append(sent_s)
        previous_failed = failed
    assert is_watch_lost(asked_s, contact) == (asked_s < recoveries[-1])


def test_watch_is_lost_when_the_process_was_suspended() -> None:
    """Guards against watches that were forgotten while the daemon was frozen.

    The calls before and after the suspension are answered.
    """
    contact = record_call(StoreContact(), 0, 0.1, failed=False)
    assert not is_watch_lost(0.2, contact)
    sent_s = 0.1 + MAX_CALL_GAP_S + 1
    contact = record_call(contact, sent_s, sent_s + 0.1, failed=False)
    assert is_watch_lost(0.2, contact)
    assert not is_watch_lost(sent_s + 0.1, contact)
