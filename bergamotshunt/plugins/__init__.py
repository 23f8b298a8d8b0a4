"""Plug-ins of the kernel; each module registers the factory of its task."""
