"""Operator interface: targets, administration API and commands."""
