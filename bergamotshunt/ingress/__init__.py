"""Requests of callers at the daemon where they arrive."""
