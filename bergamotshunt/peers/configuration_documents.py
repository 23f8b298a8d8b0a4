"""Compression of configurations that daemons fetch from each other.

Many daemons fetch a new version from one peer at the same time. Without
compression, a large one keeps a slow link busy for longer than a change may
take to be in force.
"""

from typing import Final
from zlib import Z_BEST_SPEED, compress, decompressobj
from zlib import error as CorruptDataError  # noqa: N812

from bergamotshunt.http.heads import Header, RequestHead, ResponseHead

MAX_DOCUMENT_BYTES: Final = 4_194_304
CODING: Final = b'deflate'
ACCEPT_CODING: Final[Header] = (b'Accept-Encoding', CODING)
CONTENT_CODING: Final[Header] = (b'Content-Encoding', CODING)


class DocumentError(ValueError):
    """A peer sent a document that cannot be decompressed."""


class DocumentCache:
    """Encodes a document; a compressed one is kept for the next request."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._document = b''
        self._compressed = b''

    def encode(
        self, document: bytes, request: RequestHead
    ) -> tuple[list[Header], bytes]:
        """Return headers and body of the response to a request.

        Peers of an earlier version accept no compressed document.
        """
        if request.by_name.get(b'accept-encoding') != CODING:
            return [], document
        if document != self._document:
            self._document = document
            self._compressed = compress(document, Z_BEST_SPEED)
        return [CONTENT_CODING], self._compressed


def decode_document(head: ResponseHead, content: bytes) -> bytes:
    """Return the document of a response.

    Raises:
        DocumentError: It is corrupt, or longer than ``MAX_DOCUMENT_BYTES``.
    """
    if head.by_name.get(b'content-encoding') != CODING:
        return content
    decompressor = decompressobj()
    try:
        document = decompressor.decompress(content, MAX_DOCUMENT_BYTES)
    except CorruptDataError as error:
        raise DocumentError(f'the document is corrupt: {error}') from error
    if not decompressor.eof:
        raise DocumentError(
            'the document is cut, or has over '
            f'{MAX_DOCUMENT_BYTES} bytes uncompressed'
        )
    return document
