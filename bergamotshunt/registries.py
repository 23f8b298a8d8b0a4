"""Registries of named entries, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

Entry = TypeVar('Entry')


class UnknownEntryError(LookupError):
    """The registry has no entry with the given name."""


class Registry(Generic[Entry]):
    """Named entries of one kind, such as plug-ins.

    Args:
        kind: Kind of the entries, for error messages.
    """

    def __init__(self, kind: str) -> None:
        """Create an empty registry."""
        self.kind = kind
        self.by_name: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that stores its argument under ``name``.

        Raises:
            ValueError: The name is already registered.
        """

        def decorator(entry: Entry) -> Entry:
            if name in self.by_name:
                raise ValueError(f'{self.kind} {name!r} is registered twice')
            self.by_name[name] = entry
            return entry

        return decorator

    def get(self, name: str) -> Entry:
        """Return the entry registered as ``name``.

        Raises:
            UnknownEntryError: No such entry; the message lists all names.
        """
        if name not in self.by_name:
            known = ', '.join(self.names())
            raise UnknownEntryError(
                f'unknown {self.kind} {name!r}; known: {known}',
            )
        return self.by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the names of all entries, sorted."""
        return tuple(sorted(self.by_name))
