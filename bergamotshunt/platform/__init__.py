"""Adapter for the users' platform: its names, formats and calls.

Modules of this package convert between the platform's wire formats and the
types of the project. They contain no decisions.
"""
