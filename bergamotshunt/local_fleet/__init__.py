"""Command ``local``: a complete fleet in one process, without any set-up."""
