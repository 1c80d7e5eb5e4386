"""Allocation of ports for tests, and programs whose port is in use."""

from __future__ import annotations

import socket
from contextlib import contextmanager

import pytest

from tests.gateway.live_gateway import LiveGateway
from tests.ports import (
    FIRST_PORT,
    PORTS_PER_SEGMENT,
    SEGMENT_COUNT,
    PortSegment,
    free_port,
)
from tests.processes import Programs


@contextmanager
def listening_at(port):
    """Listen at a port, also if a connection of an earlier test is in TIME_WAIT."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        yield


def test_segments_of_two_processes_do_not_overlap():
    first, second = PortSegment(), PortSegment()
    ports = [{segment.next_free() for _ in range(50)} for segment in (first, second)]
    assert not ports[0] & ports[1]


def test_port_in_use_is_skipped():
    segment = PortSegment()
    number = segment.next_free()
    with listening_at(number + 1):
        assert segment.next_free() == number + 2


def test_ports_end_below_those_of_outgoing_connections():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as limits:
        first_outgoing = int(limits.read().split()[0])
    assert FIRST_PORT + SEGMENT_COUNT * PORTS_PER_SEGMENT <= first_outgoing


def test_upstreams_of_live_gateways_listen_on_ports_of_their_process():
    """Guards against calls of another process to a server that had the port before."""
    ports = range(FIRST_PORT, FIRST_PORT + SEGMENT_COUNT * PORTS_PER_SEGMENT)
    with LiveGateway(raw_upstreams=("d9",)) as live:
        addresses = [running.address for running in live.running_by_name.values()]
        assert all(address.port in ports for address in addresses)
        assert live.raw_by_name["d9"].port in ports
        assert live.gateway.settings.store.port in ports


def test_router_exits_and_reports_it_when_its_port_is_in_use(tmp_path):
    """A port in use must not look like a slow start."""
    port = free_port()
    with Programs(tmp_path) as programs, listening_at(port):
        platform = programs.start_platform()
        with pytest.raises(AssertionError, match="r0 has ended"):
            programs.start_router("r0", platform, listen=port)
