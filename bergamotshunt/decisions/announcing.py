"""Which announcement of a backend server is the newest."""

from bergamotshunt.routing import ServerEntry


def is_newer(entry: ServerEntry, known: ServerEntry | None) -> bool:
    """Tell whether an announcement replaces what is known.

    A lifetime replaces an earlier one; within a lifetime the sequence
    decides, since announcements can arrive late.
    """
    if known is None:
        return True
    if entry.born_ms != known.born_ms:
        return entry.born_ms > known.born_ms
    if entry.instance != known.instance:
        return True
    return entry.sequence > known.sequence
