"""API keys of client accounts."""


class ApiKey:
    """An API key, whose text does not appear in logs and error texts.

    It is no string, so that no encoder writes its text by accident.
    """

    __slots__ = ('_text',)

    def __init__(self, text: str) -> None:
        """Create a key."""
        self._text = text

    def __repr__(self) -> str:
        """Return a fixed text for all keys."""
        return 'ApiKey(hidden)'

    def reveal(self) -> str:
        """Return the text of the key, to look up its account."""
        return self._text
