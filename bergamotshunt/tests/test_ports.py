"""Tests of ports that are reserved for listeners."""

from contextlib import closing
from socket import create_server, socket

import pytest

from bergamotshunt.tests.mesh import LOOPBACK_PREFIX
from standins.ports import Ports

IPS = (f'{LOOPBACK_PREFIX}.11', f'{LOOPBACK_PREFIX}.12')


def test_reserved_port_is_kept_for_a_listener() -> None:
    """Guards against ports that others take before their daemon starts."""
    with closing(Ports(*IPS)) as ports:
        port = ports.reserve()
        for ip in IPS:
            with socket() as other, pytest.raises(OSError, match='in use'):
                other.bind((ip, port))
            create_server((ip, port)).close()


def test_consecutive_ports_are_reserved() -> None:
    """Guards against a daemon whose metrics port is taken."""
    with closing(Ports(*IPS)) as ports:
        first = ports.reserve(2)
        for ip in IPS:
            with socket() as other, pytest.raises(OSError, match='in use'):
                other.bind((ip, first + 1))
