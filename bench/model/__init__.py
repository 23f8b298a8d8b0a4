"""Discrete-event simulation of load balancing policies.

Each policy is compared with an omniscient one, which knows the future of
every server.
"""
