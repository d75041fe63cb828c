"""Tests of the loopback addresses of a process."""

import os
import socket
import subprocess
import sys

import pytest

from demo.loopback import (
    FIRST_PORT,
    LAST_PORT,
    NETWORK_COUNT,
    LoopbackNetwork,
    NoFreeAddress,
    free_addresses,
    loopback_host,
)

pytestmark = pytest.mark.network

LOCAL_PORTS_FILE = "/proc/sys/net/ipv4/ip_local_port_range"
PROCESSES = 4
TIMEOUT_S = 20
# Any number but that of a network of this run.
PREFERRED = NETWORK_COUNT - 1
# Prints its network, and keeps it until its input ends.
CODE = f"""
import sys
from demo.loopback import LoopbackNetwork
network = LoopbackNetwork({PREFERRED})
print(network.host(), flush=True)
sys.stdin.read()
"""


def test_processes_with_the_same_preferred_network_get_different_ones():
    """Guards against two test runs whose servers have the same address."""
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", CODE],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    try:
        hosts = [process.stdout.readline() for process in processes]
    finally:
        for process in processes:
            process.communicate(timeout=TIMEOUT_S)
    assert "" not in hosts
    assert len(set(hosts)) == PROCESSES


def test_network_of_a_killed_process_can_be_used_again():
    """Guards against networks that are used up by runs that were killed."""
    process = subprocess.Popen(
        [sys.executable, "-c", CODE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    host = process.stdout.readline().strip()
    process.kill()
    process.communicate(timeout=TIMEOUT_S)
    network = LoopbackNetwork(PREFERRED)
    assert network.host() == host


def test_forked_process_gets_a_network_of_its_own():
    """Guards against a child that hands out the addresses of its parent again."""
    own = loopback_host()
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        os.write(writer, loopback_host().encode())
        os._exit(0)
    os.close(writer)
    with os.fdopen(reader) as pipe:
        other = pipe.read()
    os.waitpid(child, 0)
    assert other.startswith("127.")
    assert other != own


def test_no_address_is_handed_out_twice():
    """Guards against a port that another test of the process has found free, too."""
    addresses = free_addresses(100) + free_addresses(100)
    assert len(set(addresses)) == 200


def test_ports_are_no_local_ports_of_clients():
    """Guards against a server that cannot listen as the kernel gave its port away."""
    with open(LOCAL_PORTS_FILE) as file:
        first, _ = map(int, file.read().split())
    (address,) = free_addresses(1)
    assert FIRST_PORT <= address.port <= LAST_PORT < first


def test_port_at_which_a_process_listens_is_passed_over():
    """Guards against the address of a process that outlived an earlier run."""
    network = LoopbackNetwork(PREFERRED)
    with socket.create_server((network.host(), FIRST_PORT)):
        assert network.free_address().port == FIRST_PORT + 1


def test_used_up_ports_are_an_error(monkeypatch):
    """Guards against an endless search for a port."""
    monkeypatch.setattr("demo.loopback.LAST_PORT", FIRST_PORT)
    network = LoopbackNetwork(PREFERRED)
    network.free_address()
    with pytest.raises(NoFreeAddress, match="all ports"):
        network.free_address()


@pytest.mark.parametrize("number", [0, 255])
def test_number_of_no_host_is_refused(number):
    """Guards against a server at the address that reserves the network."""
    with pytest.raises(ValueError, match="host number"):
        loopback_host(number)
