"""Tests that refusals of requests that no handler saw are reported."""

import curio
import pytest

from tests.stopping_entries import make_relay_entry as make_entry
from wagtailrun.exceptions import RefusalReason
from wagtailrun.logs import events

pytestmark = pytest.mark.network


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"nonsense\r\n\r\n", RefusalReason.MALFORMED),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Le", RefusalReason.DRAINING),
    ],
)
def test_refusal_of_a_request_that_was_not_read_is_logged(monkeypatch, data, reason):
    """Guards against refusals by the server of which no line and no metric tells."""
    lines = []
    monkeypatch.setattr(
        events, "log", lambda event, **fields: lines.append((event, fields))
    )
    entry = make_entry()

    async def main():
        await curio.spawn(entry.caller_server.serve, daemon=True)
        await curio.sleep(0.05)
        address = entry.settings.caller_address
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(data)
        await curio.sleep(0.05)
        await entry.caller_server.refuse_incomplete()
        return await sock.recv(65_536)

    assert curio.run(main).startswith(b"HTTP/1.1 ")
    (fields,) = [fields for event, fields in lines if event is events.RELAY_REFUSED]
    assert fields["reason"] == str(reason)
    page = entry.metrics.render().decode()
    assert f'wagtailrun_relay_refusals_total{{reason="{reason}"}} 1.0' in page
