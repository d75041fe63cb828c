"""Tests that control members acknowledge exactly what entries can read."""

import codecs
import json

import curio
import pytest
from wagtail_platform.control_calls import ControlHandler
from wagtail_platform.documents import PlatformConfigurationFormat

from tests.test_discovery import ENTRY, run
from tests.test_platform import DOCUMENT, FakeHub, FakeStore, call, document

VERSION = DOCUMENT["version"]


def answer(data):
    """Return a control member's answer to a document, and what it stored."""
    store = FakeStore()
    handler = ControlHandler(store, FakeHub())
    return call(handler, "PUT", "/configuration", data), store.documents


async def view_after(controls, clock, text, wait_ms=1_000):
    """Return the view of an entry some time after the members stored a document."""
    view = controls.view(ENTRY)
    view.configuration_format = PlatformConfigurationFormat()
    await curio.spawn(view.run, daemon=True)
    await controls.put_text(VERSION, text)
    await clock.sleep_ms(wait_ms)
    return view


ENCODED = {
    "UTF-8 with a mark": codecs.BOM_UTF8 + document().encode(),
    "mark after the start": b" " + codecs.BOM_UTF8 + document().encode(),
    "mark in the document": document().encode().replace(b" ", codecs.BOM_UTF8, 1),
    "UTF-16": document().encode("utf-16"),
    "UTF-16 without a mark": document().encode("utf-16-le"),
    "UTF-16, other order": document().encode("utf-16-be"),
    "UTF-32": document().encode("utf-32"),
    "UTF-32 without a mark": document().encode("utf-32-le"),
    "Latin-1": document(x="\xe9").replace("\\u00e9", "\xe9").encode("latin-1"),
    "surrogate in UTF-8": document(x="?").encode().replace(b"?", b"\xed\xa0\x80"),
    "NUL": document().encode() + b"\0",
}


@pytest.mark.parametrize("name", ENCODED)
def test_text_that_no_entry_can_read_is_refused(name):
    """Guards against an acknowledged text after which no entry serves a request.

    A byte order mark was skipped by the check, and read by no entry.
    """
    reply, stored = answer(ENCODED[name])
    assert (reply.status, stored) == (400, [])
    detail = json.loads(reply.body)["detail"]
    assert "byte " in detail or "char " in detail


@pytest.mark.parametrize(
    "data",
    [
        document().encode(),
        document(x="\xe9\U0001f600").encode(),
        json.dumps({**DOCUMENT, "x": "\xe9\ufeff"}, ensure_ascii=False).encode(),
        b"\r\n\t " + document().encode() + b"\n",
    ],
)
def test_acknowledged_text_is_in_force_as_it_was_sent(data):
    """Guards against a text that is changed between its check and its use."""
    reply, stored = answer(data)
    assert (reply.status, stored) == (200, [(VERSION, data.decode())])
    view = run(lambda controls, clock: view_after(controls, clock, stored[0][1]))
    assert (view.revision, view.text) == (VERSION, data)
