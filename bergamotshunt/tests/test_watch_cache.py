"""Model-based test of what daemons pass on of the store's changes."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bergamotshunt.decisions import watch_cache
from bergamotshunt.decisions.watch_cache import WatchCache
from bergamotshunt.stored_items import Item, Listing

KEYS = st.sampled_from(['a', 'b', 'c', 'd'])
READERS = st.integers(0, 1)


class FeedMachine(RuleBasedStateMachine):
    """Two readers fall behind and catch up; a daemon follows either.

    Guards against an entry that was removed and is in use again, and against
    one that goes back to an earlier revision: after a change of the reader,
    a listing that is old, or a message that arrives late or twice.
    """

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.log: list[Item] = []
        self.readers = [WatchCache(), WatchCache()]
        self.follower = WatchCache()
        self.old_listings: list[Listing] = []
        self.old_updates: list[Listing] = []
        self.seen_by_key: dict[str, int] = {}

    def items_at(self, revision: int) -> dict[str, Item]:
        items = {}
        for item in self.log:
            if item.revision > revision:
                break
            items[item.key] = item
        return {key: item for key, item in items.items() if item.content}

    def list_store(self) -> Listing:
        items = self.items_at(self.revision)
        return Listing(tuple(items.values()), self.revision)

    @rule(key=KEYS)
    def store_writes(self, key: str) -> None:
        self.revision += 1
        self.log.append(Item(key, b'%d' % self.revision, self.revision))

    @rule(key=KEYS)
    def store_removes(self, key: str) -> None:
        if key in self.items_at(self.revision):
            self.revision += 1
            self.log.append(Item(key, None, self.revision))

    @rule(reader=READERS)
    def reader_lists(self, reader: int) -> None:
        listing = self.list_store()
        self.old_listings.append(listing)
        self.readers[reader].apply_listing(listing)

    @precondition(lambda self: self.old_listings)
    @rule(reader=READERS, choice=st.integers(0, 50))
    def reader_gets_an_old_listing(self, reader: int, choice: int) -> None:
        old = self.old_listings[choice % len(self.old_listings)]
        self.readers[reader].apply_listing(old)

    @rule(reader=READERS, count=st.integers(1, 4))
    def reader_watches(self, reader: int, count: int) -> None:
        cache = self.readers[reader]
        if not cache.revision:
            return
        news = [item for item in self.log if item.revision > cache.revision]
        delivered = tuple(news[:count])
        revision = delivered[-1].revision if delivered else self.revision
        cache.apply_changes(Listing(delivered, revision))

    @rule(reader=READERS)
    def follower_asks(self, reader: int) -> None:
        cache = self.readers[reader]
        if not cache.revision:
            return
        changes = cache.changes_after(self.follower.revision)
        if changes is None or not self.follower.revision:
            self.follower.apply_listing(Listing(cache.items, cache.revision))
            return
        update = Listing(changes, cache.revision)
        self.old_updates.append(update)
        self.follower.apply_changes(update)

    @precondition(lambda self: self.old_updates)
    @rule(choice=st.integers(0, 50))
    def update_arrives_again(self, choice: int) -> None:
        old = self.old_updates[choice % len(self.old_updates)]
        self.follower.apply_changes(old)

    @invariant()
    def caches_show_the_store_as_of_their_revision(self) -> None:
        for cache in (*self.readers, self.follower):
            if cache.revision:
                shown = {item.key: item for item in cache.items}
                assert shown == self.items_at(cache.revision)

    @invariant()
    def no_key_goes_back(self) -> None:
        for item in self.follower.items:
            assert item.revision >= self.seen_by_key.get(item.key, 0)
            self.seen_by_key[item.key] = item.revision


FeedMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
TestFeedMachine = FeedMachine.TestCase


def test_removals_that_are_forgotten_need_a_listing(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    """Guards against a removed entry that a peer which was behind keeps."""
    monkeypatch.setattr(watch_cache, 'MAX_REMOVED_KEYS', 1)
    cache = WatchCache()
    items = tuple(Item(key, b'x', 1) for key in 'abc')
    cache.apply_listing(Listing(items, 1))
    for revision, key in ((2, 'a'), (3, 'b')):
        cache.apply_changes(Listing((Item(key, None, revision),), revision))
    assert cache.changes_after(1) is None
    assert cache.changes_after(2) == (Item('b', None, 3),)
    assert [item.key for item in cache.items] == ['c']
