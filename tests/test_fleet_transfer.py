"""Tests that an accepted fleet text reaches the entries."""

import json

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_routes import TEXT
from wagtailrun.clock import SystemClock
from wagtailrun.control.text_watch import ConfigurationLongPoll
from wagtailrun.exceptions import FleetTextError
from wagtailrun.fleet.model import fleet_from_document, parse_fleet_text
from wagtailrun.gossip.text import FleetConfigStore
from wagtailrun.registry.messages import WatchText

FIELDS = (
    '"works.example"',
    '"/dossier/"',
    '"stream"',
    '"k2"',
    "weight = 90",
    "timeout_ms = 15000",
    "version = 7",
    'name = "works"',
)
ODD_VALUES = (
    *("1979-05-27", "1979-05-27T07:32:00Z", "07:32:00", "1979-05-27T07:32:00"),
    *("nan", "-inf", "inf", "1e999", "-0.0", "0x" + "f" * 6_000, "9" * 5_000, "1_0"),
    *("true", '"\\u0000"', '"\\r\\n"', "'''\n'''", '""', "[[1979-05-27]]", "{a = nan}"),
    *("[" * depth + "]" * depth for depth in (1, 50, 64, 300, 900, 2_000)),
    *("{" + "a." * 50 + "a = 1}", "{" + "a." * 900 + "a = 1}", "18446744073709551616"),
)


def entry_after(texts):
    """Return the store of an entry that polled a control member after each text."""
    current = [0, ""]
    poll = ConfigurationLongPoll(SystemClock(), lambda: tuple(current))
    store = FleetConfigStore()
    for revision, text in enumerate(texts, 1):
        current[:] = revision, text
        update = curio.run(poll.watch, WatchText(store.version[1], 0))
        assert store.apply_update(update)
    return store


@pytest.mark.parametrize(
    ("value", "place"),
    [
        ("1979-05-27", "relay.routes[0].host: 1979-05-27 is a date or time"),
        ("[07:32:00]", "relay.routes[0].host[0]: 07:32:00 is a date or time"),
        ("nan", "relay.routes[0].host: nan is not finite"),
        ("0x" + "f" * 6_000, "relay.routes[0].host: the number has more than 4096"),
        ("[" * 200 + "]" * 200, "relay.routes[0].host[0][0]"),
    ],
)
def test_value_that_entries_cannot_be_sent_is_refused(value, place):
    """Guards against an accepted text after which polls of all entries fail.

    A date in place of a text was accepted, and the difference to it has no JSON.
    """
    with pytest.raises(FleetTextError) as error:
        parse_fleet_text(TEXT.replace('"works.example"', value, 1))
    assert place in str(error.value)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.sampled_from(FIELDS), max_size=2), st.data())
def test_accepted_text_is_active_at_entries(fields, data):
    """Guards against a text that is accepted and that entries cannot be sent."""
    text = TEXT
    for field in fields:
        key, equals, _ = field.rpartition("= ")
        value = data.draw(st.sampled_from(ODD_VALUES))
        text = text.replace(field, f"{key}{equals}{value}", 1)
    start = data.draw(st.integers(0, len(text)))
    text = text[:start] + data.draw(st.sampled_from(["", "", "\ufeff"])) + text[start:]
    try:
        fleet = parse_fleet_text(text)
    except FleetTextError as error:
        assert error.faults
        return
    # The first is sent as a whole, the second as a difference.
    store = entry_after([TEXT, text + "# end\n"])
    assert (store.version, store.fleet) == ((0, 2), fleet)
    assert fleet_from_document(json.loads(store.document_json())) == fleet
