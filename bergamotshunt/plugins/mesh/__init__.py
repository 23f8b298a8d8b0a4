"""Plug-ins of a mesh daemon; each registers the factory of its task."""
