"""Tests of an operator whose request a stopping control member has in progress."""

import signal
import time

import pytest

from demo.processes import free_addresses
from tests.test_late_signal_processes import connect
from tests.test_start import PLAIN, START_S, render, start

pytestmark = pytest.mark.network

READ = b"GET /configuration HTTP/1.1\r\nHost: a\r\n\r\n"


def test_operator_whose_request_a_stopping_member_has_read_gets_an_answer(tmp_path):
    """Guards against an operator that cannot tell what became of a request."""
    addresses = free_addresses(4)
    host = addresses[0].host
    operators, other, peer, metrics = (each.port for each in addresses)
    values = {
        **PLAIN,
        "ip": host,
        "listen.front": f"{host}:{other}",
        "listen.ready": f"{host}:{metrics}",
        "listen.control": f"{host}:{operators}",
        "internal_ports.0": str(peer),
        "data_dir": str(tmp_path / "data"),
        # The only other member is gone, so that the read waits for 800 ms.
        "seeds": f"{host}:{peer},127.0.0.1:1,127.0.0.1:2",
    }
    file = tmp_path / "control.env"
    file.write_text(render("control", values))
    process = start("control", file)
    try:
        process.stdout.readline()
        sock = connect((host, operators))
        sock.sendall(READ)
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        received = sock.recv(65_536)
    finally:
        process.communicate(timeout=START_S)
    assert received.startswith(b"HTTP/1.1 ")
