"""Servers that start while the clock of their host was set back."""

from bergamotshunt.decisions.announcements import (
    MAX_SILENCE_S,
    LatestAnnouncement,
)
from bergamotshunt.routing import AnnouncedState, ServerEntry

HEARTBEAT_S = 1.5


def announcement(
    instance: str,
    born_ms: int,
    sequence: int,
    state: AnnouncedState = AnnouncedState.READY,
) -> ServerEntry:
    return ServerEntry(
        instance, born_ms, sequence, 's', 'z', '10.0.0.1', 1, 9, state
    )


def create_running(instance: str = 'i-a') -> LatestAnnouncement:
    """Return the state after two heartbeats of a server."""
    announcements = LatestAnnouncement()
    for sequence in (1, 2):
        entry = announcement(instance, 5000, sequence)
        assert announcements.record(entry, HEARTBEAT_S * sequence)
    return announcements


def run_earlier(
    announcements: LatestAnnouncement, instance: str, start_s: float
) -> float:
    """Send heartbeats of an incarnation with an earlier start time.

    Returns:
        When the first one was accepted, in seconds after the start.
    """
    for sequence in range(1, 10):
        after_s = HEARTBEAT_S * (sequence - 1)
        entry = announcement(instance, 3000, sequence)
        if announcements.record(entry, start_s + after_s):
            return after_s
    raise AssertionError('no heartbeat was accepted')


def test_server_that_starts_after_a_clock_step_is_accepted() -> None:
    """Guards against a server whose announcements are ignored for good.

    The clock of the host was set back between two starts, so the running
    incarnation has the earlier start time. Daemons have to take its entry for
    the newer one all the same.
    """
    for instance in ('i-a', 'i-b'):
        announcements = create_running()
        before = announcements.latest
        assert before is not None
        after_s = run_earlier(announcements, instance, 4.0)
        assert after_s <= MAX_SILENCE_S + HEARTBEAT_S
        latest = announcements.latest
        assert latest is not None
        assert latest.instance == instance
        assert latest.born_ms > before.born_ms
        # Its later announcements follow.
        leaving = announcement(instance, 3000, 20, AnnouncedState.LEAVING)
        assert announcements.record(leaving, 30.0)
        assert announcements.latest is not None
        assert announcements.latest.is_leaving
        # The next incarnation starts with a clock that is right again.
        assert announcements.record(announcement('i-c', 9000, 1), 40.0)


def test_leaving_after_a_clock_step_is_in_force_at_once() -> None:
    """Guards against an acknowledged announcement that has no effect.

    The server leaves before its incarnation is accepted.
    """
    announcements = create_running()
    first = announcement('i-a', 3000, 1)
    assert not announcements.record(first, 4.0)
    leaving = announcement('i-a', 3000, 2, AnnouncedState.LEAVING)
    assert announcements.record(leaving, 5.5)
    assert announcements.latest is not None
    assert announcements.latest.is_leaving


def test_late_announcements_do_not_replace_a_running_server() -> None:
    """Guards against late heartbeats of an earlier incarnation.

    They were delayed until the next incarnation had announced itself, which
    goes on to do so.
    """
    announcements = create_running()
    for sequence in range(3, 20):
        now_s = HEARTBEAT_S * sequence
        for instance in ('i-a', 'i-b'):
            late = announcement(instance, 3000, sequence)
            assert not announcements.record(late, now_s)
        assert announcements.record(announcement('i-a', 5000, sequence), now_s)


def test_one_late_announcement_does_not_replace_a_silent_server() -> None:
    """Guards against a late heartbeat while the server's own are missing."""
    announcements = create_running()
    late = announcement('i-b', 3000, 7)
    assert not announcements.record(late, 60.0)
    assert not announcements.record(late, 61.0)
    assert announcements.record(announcement('i-a', 5000, 3), 62.0)


def test_late_leaving_does_not_end_a_running_server() -> None:
    """Guards against a server that stays out of use for a late message."""
    announcements = create_running()
    late = announcement('i-a', 3000, 9, AnnouncedState.LEAVING)
    announcements.record(late, 4.0)
    assert announcements.record(announcement('i-a', 5000, 3), 4.5)
    assert announcements.latest is not None
    assert not announcements.latest.is_leaving


def test_heartbeats_without_a_start_time_bring_no_server_back() -> None:
    """Guards against a deregistered server that another writer brings back.

    Its heartbeats lack the start time, which the server always states. They
    are taken for nobody's, also by the next process, which has the entry.
    """
    running = create_running()
    entry = running.latest
    assert entry is not None
    assert running.record_deregistration(entry.instance)
    restarted = LatestAnnouncement()
    restarted.restore(entry, 0)
    for announcements in (running, restarted):
        for sequence in range(1, 20):
            odd = announcement(entry.instance, 0, sequence)
            assert not announcements.record(odd, 10 + HEARTBEAT_S * sequence)


def test_server_that_never_states_its_start_is_accepted() -> None:
    """Guards against a server of an earlier version that is ignored."""
    announcements = LatestAnnouncement()
    for sequence in (1, 2):
        odd = announcement('i-a', 0, sequence)
        assert announcements.record(odd, HEARTBEAT_S * sequence)
