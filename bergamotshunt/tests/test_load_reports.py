"""Tests how often a daemon reports the load of its server."""

import pytest

from bergamotshunt.backend.loads import (
    InstanceLoadReport,
    Load,
    LoadDatagram,
    Subscription,
    decode_load_datagram,
    encode_load_datagram,
)
from bergamotshunt.decisions.pace_forecasts import PaceForecast
from bergamotshunt.plugins.mesh.loads import (
    FAR_REPORT_INTERVAL_MS,
    LoadsTask,
)
from bergamotshunt.tests.mesh import Mesh
from bergamotshunt.tests.odd_input import run_in_mesh

NEAR_IP, FAR_IP = '127.0.0.250', '127.0.0.251'


def test_far_daemons_get_fewer_reports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against traffic between zones that grows with each change.

    Urgent reports go to all subscribers at once.
    """
    sent_to: list[str] = []

    async def scenario(mesh: Mesh) -> None:
        loads = mesh.hosts[0].kernel.tasks_by_name['loads']
        assert isinstance(loads, LoadsTask)
        monkeypatch.setattr(loads, '_run_reports', None)
        for ip, interval_ms in ((NEAR_IP, 0), (FAR_IP, FAR_REPORT_INTERVAL_MS)):
            loads._handle_subscription(Subscription(ip, 1, interval_ms), ip)
        monkeypatch.setattr(
            loads, '_send_bytes', lambda _content, ip: sent_to.append(ip)
        )
        for _ in range(3):
            loads._send_report(urgent=False)
        assert (sent_to.count(NEAR_IP), sent_to.count(FAR_IP)) == (3, 1)
        loads._send_report(urgent=True)
        assert (sent_to.count(NEAR_IP), sent_to.count(FAR_IP)) == (4, 2)

    run_in_mesh(scenario)


def test_report_is_short_and_keeps_what_matters() -> None:
    """Guards against datagrams that are mostly digits of estimates."""
    outlook = PaceForecast(123.456789, 500.0, 0.35, 1.0, 7.0)
    load = Load(3, 1, 9, 1.0, 61.23456, 0.0, True, outlook)
    report = InstanceLoadReport('i-7f3a91c2', load, 12)
    content = encode_load_datagram(LoadDatagram(report=report))
    assert len(content) < 60
    decoded = decode_load_datagram(content).report
    assert decoded is not None
    assert decoded.load._replace(work_ms=0, outlook=outlook) == load._replace(
        work_ms=0
    )
    assert decoded.load.work_ms == 61
    assert decoded.load.outlook == outlook._replace(phase_left_ms=123)
