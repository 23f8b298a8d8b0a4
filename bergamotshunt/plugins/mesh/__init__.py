"""Plug-ins of a daemon on the users' platform; each registers its task."""
