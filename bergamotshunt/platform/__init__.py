"""Adapter of the users' platform: its names, formats and calls.

Modules of this package decode what the platform says into types of the
project and encode what the project wants to say. They decide nothing.
"""
