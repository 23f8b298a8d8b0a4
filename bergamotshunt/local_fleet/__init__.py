"""A fleet in one process, to try the system without any set-up."""
