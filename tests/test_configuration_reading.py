"""Tests that control members acknowledge exactly what entries can read."""

import codecs
import json
import random
import re

import attrs
import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtail_platform.control_calls import ControlHandler
from wagtail_platform.documents import PlatformConfigurationFormat

from tests.test_discovery import ENTRY, run
from tests.test_platform import DOCUMENT, FakeHub, FakeStore, call, document
from wagtailrun.adapters.tcp_link import MAX_FRAME_BYTES
from wagtailrun.codec import decode, encode
from wagtailrun.ports.link import Address
from wagtailrun.registry.messages import PutText
from wagtailrun.registry.state import Registry
from wagtailrun.relay.control import MAX_TEXT_BYTES

VERSION = DOCUMENT["version"]
OTHER_ENTRY = attrs.evolve(ENTRY, name="e2", address=Address("10.0.1.2", 7_000))


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


# A refusal names a byte or character, the path of a field, or the document as a whole.
PLACE = re.compile(
    r"byte \d+: |(version|routes|services|tenants|limits)\b|.*\(char \d+\)"
    r"|the document must be|the number \d+\.\.\. has"
)
ODD_NUMBERS = st.sampled_from(
    [
        *(0, -1, -0.0, 0.5, 1.5, 1e-320, 2**31, 2**53 + 1, 2**63 - 1, 2**63, -(2**63)),
        *(10**400, 1e308, -1e308, float("inf"), float("-inf"), float("nan")),
    ]
)
ODD_TEXTS = st.sampled_from(
    [
        *(
            "",
            " ",
            "/",
            "a b",
            "\ud800",
            "\udfff\ud800",
            "\ufeff",
            "\0",
            "\r\n",
            "\x7f",
        ),
        *("\u2028", "\U0001f600", "\xe9", "llm", "idempotent", "1e5", "x" * 5_000),
    ]
)
SCALARS = st.none() | st.booleans() | ODD_NUMBERS | ODD_TEXTS | st.integers()
ODD_VALUES = st.recursive(
    SCALARS | st.floats() | st.text(max_size=8),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(
            st.sampled_from(["name", "service", "weight", "slots", "x"]),
            values,
            max_size=3,
        )
    ),
    max_leaves=6,
)
UNKNOWN_FIELDS = ("x", "", "\ud800", "Version", "\ufeff")
DEPTHS = (1, 30, 58, 59, 60, 61, 62, 63, 64, 65, 66, 200, 900, 990, 1_000, 5_000)
CODECS = ("utf-8", "utf-8-sig", "utf-16", "utf-16-le", "utf-16-be", "utf-32", "cp1252")
ODD_BYTES = (b"\0", b"\xff", b"\xfe", b"\xef\xbb\xbf", b"\xc3", b"\xed\xa0\x80", b'"')
ODD_BYTES += (b"\\", b"\\u0000", b"\\ud83d", b"{", b"]", b",", b"1e999", b"NaN", b"-")


def places(value, path=()):
    """Return the paths of all fields and items of a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for key, item in items:
        found.append((*path, key))
        if isinstance(item, dict | list):
            found += places(item, (*path, key))
    return found


def change_field(draw, text):
    """Replace, remove or add a field of a document, or give it twice."""
    value = json.loads(text)
    *path, last = draw(st.sampled_from(places(value)))
    owner = value
    for key in path:
        owner = owner[key]
    change = draw(st.sampled_from(["replace", "remove", "add", "twice", "nest"]))
    if change == "remove":
        del owner[last]
    elif change == "add":
        name = draw(st.sampled_from(UNKNOWN_FIELDS))
        (owner if isinstance(owner, dict) else value)[name] = draw(ODD_VALUES)
    elif change == "nest":
        depth = draw(st.sampled_from(DEPTHS))
        owner[last] = "NESTED"
        return json.dumps(value).replace('"NESTED"', "[" * depth + "]" * depth)
    elif change == "twice" and isinstance(owner, dict):
        pair = json.dumps(last) + ": "
        return text.replace(pair, pair + json.dumps(draw(ODD_VALUES)) + ", " + pair, 1)
    else:
        owner[last] = draw(ODD_VALUES)
    return json.dumps(value, ensure_ascii=draw(st.booleans()))


@st.composite
def odd_documents(draw):
    """Draw the bytes of a document with some odd changes, or without any."""
    text = json.dumps(DOCUMENT)
    for _ in range(draw(st.integers(0, 2))):
        try:
            text = change_field(draw, text)
        except (RecursionError, ValueError):
            break
    if draw(st.integers(0, 2)):
        return text.encode("utf-8", "replace")
    data = text.encode(draw(st.sampled_from(CODECS)), "replace")
    if draw(st.booleans()):
        return data
    start = draw(st.integers(0, len(data)))
    end = draw(st.sampled_from([start, start + 1, len(data)]))
    return data[:start] + draw(st.sampled_from(ODD_BYTES)) + data[end:]


async def revisions_after(controls, clock, texts):
    """Return the revisions of two entries after each of some acknowledged texts."""
    views = [controls.view(ENTRY), controls.view(OTHER_ENTRY)]
    for view in views:
        view.configuration_format = PlatformConfigurationFormat()
        await curio.spawn(view.run, daemon=True)
    found = []
    for revision, text in enumerate(texts, 1):
        await controls.put_text(revision, text)
        await clock.sleep_ms(1_000)
        assert all(view.text.decode() == text for view in views)
        found.append([view.revision for view in views])
    return found


def restored_text(text):
    """Return a text as a member has it from the log and a snapshot of another one."""
    registry, other = Registry(), Registry()
    registry.revision = VERSION
    registry.text = decode(encode(PutText(VERSION, "operator", "x", text, 0))).text
    other.restore(registry.snapshot())
    return other.text


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(odd_documents(), min_size=1, max_size=8))
def test_what_is_acknowledged_is_in_force_and_what_is_refused_says_why(documents):
    """Guards against documents that the check and the entries read differently."""
    texts = []
    for data in documents:
        reply, stored = answer(data)
        if reply.status == 200:
            ((_, text),) = stored
            assert text.encode() == data
            assert restored_text(text) == text
            texts.append(text)
        else:
            assert (reply.status, stored) == (400, [])
            assert PLACE.match(json.loads(reply.body)["detail"])
    if texts:
        revisions = run(lambda controls, clock: revisions_after(controls, clock, texts))
        assert revisions == [[n, n] for n in range(1, len(texts) + 1)]


def test_changes_make_documents_of_both_kinds():
    """Guards against drawn documents that are all refused, or all acknowledged."""
    statuses = []

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(odd_documents())
    def count(data):
        statuses.append(answer(data)[0].status)

    count()
    assert statuses.count(200) > 30
    assert statuses.count(400) > 100


def test_document_of_the_largest_size_is_in_force():
    """Guards against an acknowledged document that is too large for some message."""
    filler = random.Random(1).randbytes(MAX_TEXT_BYTES).hex()
    size = MAX_TEXT_BYTES - len(document(x=""))
    data = document(x=filler[:size]).encode()
    assert len(data) == MAX_TEXT_BYTES
    reply, ((_, text),) = answer(data)
    assert reply.status == 200
    assert len(encode(PutText(VERSION, "operator", "x", text, 0))) < MAX_FRAME_BYTES
    assert restored_text(text) == text
    view = run(lambda controls, clock: view_after(controls, clock, text, 30_000))
    assert (view.revision, view.text) == (VERSION, data)


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        (
            '"version": 7',
            '"version": ' + "7" * 5_000,
            "the number 77777777777777777777",
        ),
        ('"priority": 1, "split"', '"priority": -1, "split"', "routes[0].priority: -1"),
        ('"weight": 10}', '"weight": "10"}', "routes[0].split[1].weight: '10'"),
        ('"kind": "streaming"', '"kind": ["x"]', "routes[0].kind: ['x'] must be one"),
        ('"after": []', '"after": ["y"]', "routes[0].stages[0].after: "),
        ('"slots": 64', '"slots": Infinity', "services[0].engine.slots: inf"),
        ('"api_keys": ["k1"]', '"api_keys": 5', "tenants[0]: "),
        ('"limits": {', '"limits": {"header_timeout_ms": true, ', "limits.header_"),
    ],
)
def test_refusal_names_the_place(old, new, place):
    """Guards against a refusal that leaves the operator to search the document."""
    reply, stored = answer(document().replace(old, new, 1).encode())
    assert (reply.status, stored) == (400, [])
    assert place in json.loads(reply.body)["detail"]


@pytest.mark.parametrize("depth", [64, 5_000])
def test_refusal_of_a_deep_document_names_the_place(depth):
    """Guards against a place that is counted wrongly after brackets in a string."""
    start = r'{"x": "[[[\"[", "y": '
    reply, _ = answer(f"{start}{'[' * depth}{']' * depth}}}".encode())
    assert f"(char {len(start) + 63})" in json.loads(reply.body)["detail"]
