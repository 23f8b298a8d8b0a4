"""Encoding of the store's protocol: the JSON gateway of etcd v3."""

from base64 import b64encode
from typing import Any, Final, NamedTuple, TypedDict

from bergamotshunt.decoding import convert_malformed, decode_base64
from bergamotshunt.messages import (
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreGet,
    StorePut,
)

RANGE_PATH: Final = '/v3/kv/range'
TXN_PATH: Final = '/v3/kv/txn'
WATCH_PATH: Final = '/v3/watch'


class EntryDocument(TypedDict, total=False):
    """A key and its value (``mvccpb.KeyValue``)."""

    key: str
    value: str
    mod_revision: str


def encode_bytes(content: bytes) -> str:
    """Encode a key or a value in base64."""
    return b64encode(content).decode()


def range_end(key: str) -> str:
    """Return the first key after all keys that start with ``key``."""
    return key[:-1] + chr(ord(key[-1]) + 1)


def read_revision(reply: dict[str, Any]) -> int:
    """Return the store's revision from the header of a response.

    Raises:
        MalformedInputError: The header is malformed.
    """
    with convert_malformed('header of a response'):
        return int(reply.get('header', {}).get('revision', 0))


class StoreCodec(NamedTuple):
    """Encodes requests and decodes responses.

    Attributes:
        prefix: Prefix of all keys of the daemons in the store.
    """

    prefix: str

    def encode_key(self, key: str) -> str:
        """Encode a key below the prefix."""
        return encode_bytes((self.prefix + key).encode())

    def encode_get(self, message: StoreGet) -> dict[str, Any]:
        """Build a range request."""
        # In the order of the store, this key directly follows ``after``.
        start = f'{message.after}\0' if message.after else message.key
        body: dict[str, Any] = {'key': self.encode_key(start)}
        if message.prefix:
            body['range_end'] = self.encode_key(range_end(message.key))
        if message.limit:
            body['limit'] = str(message.limit)
        return body

    def encode_commit(self, message: StoreCommit) -> dict[str, Any]:
        """Build a transaction; if it fails, it reads the expected keys."""
        compare = [
            {
                'key': self.encode_key(key),
                'target': 'MOD',
                'result': 'EQUAL',
                'mod_revision': str(revision),
            }
            for key, revision in message.expected
        ]
        puts = [self.encode_put(put) for put in message.puts]
        deletions: list[dict[str, Any]] = [
            {'request_delete_range': {'key': self.encode_key(key)}}
            for key in message.deletes
        ]
        deletions.extend(map(self.encode_delete, message.delete_ranges))
        reads = [
            {'request_range': {'key': self.encode_key(key)}}
            for key, _ in message.expected
        ]
        return {
            'compare': compare,
            'success': puts + deletions,
            'failure': reads,
        }

    def encode_put(self, put: StorePut) -> dict[str, Any]:
        """Build one put of a transaction."""
        return {
            'request_put': {
                'key': self.encode_key(put.key),
                'value': encode_bytes(put.content),
            },
        }

    def encode_delete(self, bounds: tuple[str, str]) -> dict[str, Any]:
        """Build the deletion of a key range in a transaction."""
        start, end = bounds
        return {
            'request_delete_range': {
                'key': self.encode_key(start),
                'range_end': self.encode_key(end),
            },
        }

    def encode_watch(self, key: str, after_revision: int) -> dict[str, Any]:
        """Build the request that starts a watch."""
        return {
            'create_request': {
                'key': self.encode_key(key),
                'start_revision': str(after_revision + 1),
            },
        }

    def decode_entry(self, document: EntryDocument) -> StoreEntry:
        """Decode one entry; a deleted one has an empty value.

        Raises:
            MalformedInputError: The document is no entry.
        """
        with convert_malformed('entry of the store'):
            key = decode_base64(document['key'], 'key').decode()
            return StoreEntry(
                key.removeprefix(self.prefix),
                decode_base64(document.get('value', ''), 'value'),
                int(document['mod_revision']),
            )

    def decode_entries(self, reply: dict[str, Any]) -> tuple[StoreEntry, ...]:
        """Decode the entries of a range response.

        Raises:
            MalformedInputError: The response holds something else.
        """
        with convert_malformed('range of the store'):
            return tuple(map(self.decode_entry, reply.get('kvs', ())))

    def decode_committed(self, reply: dict[str, Any]) -> StoreCommitted:
        """Decode the response to a transaction.

        Raises:
            MalformedInputError: The response holds something else.
        """
        with convert_malformed('transaction of the store'):
            return self._parse_committed(reply)

    def _parse_committed(self, reply: dict[str, Any]) -> StoreCommitted:
        succeeded = bool(reply.get('succeeded', False))
        present: list[StoreEntry] = []
        if not succeeded:
            for response in reply.get('responses', ()):
                found = response.get('response_range', {})
                present.extend(self.decode_entries(found))
        return StoreCommitted(succeeded, read_revision(reply), tuple(present))
