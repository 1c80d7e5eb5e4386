"""Ports of tests, and programs that cannot have theirs."""

from __future__ import annotations

import socket

import pytest

from tests.ports import FIRST_PORT, SEGMENT_PORTS, SEGMENTS, PortSegment, free_port
from tests.processes import Programs


def test_segments_of_two_processes_do_not_overlap():
    first, second = PortSegment(), PortSegment()
    ports = [{segment.next_free() for _ in range(50)} for segment in (first, second)]
    assert not ports[0] & ports[1]


def test_port_in_use_is_passed_over():
    segment = PortSegment()
    number = segment.next_free()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", number + 1))
        taken.listen()
        assert segment.next_free() == number + 2


def test_ports_end_below_those_of_outgoing_connections():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as limits:
        first_outgoing = int(limits.read().split()[0])
    assert FIRST_PORT + SEGMENTS * SEGMENT_PORTS <= first_outgoing


def test_router_whose_port_is_taken_ends_and_its_start_says_so(tmp_path):
    """A taken port must not look like a slow start."""
    with Programs(tmp_path) as programs, socket.socket() as taken:
        platform = programs.start_platform()
        port = free_port()
        taken.bind(("127.0.0.1", port))
        taken.listen()
        with pytest.raises(AssertionError, match="r0 has ended"):
            programs.start_router("r0", platform, listen=port)
