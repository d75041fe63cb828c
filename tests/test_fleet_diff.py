"""Tests of differences between parsed fleet texts."""

import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailrun.fleet.diff import (
    DiffMismatch,
    apply_diff,
    diff_documents,
    document_digest,
)

LEAVES = st.booleans() | st.integers(-2, 2) | st.sampled_from(["", "a", "b"])
VALUES = st.recursive(
    LEAVES | st.lists(LEAVES, max_size=2),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(st.sampled_from("abc"), VALUES, max_size=3)


@given(DOCUMENTS, DOCUMENTS)
def test_difference_makes_one_document_of_the_other(base, document):
    """Guards against a difference that loses a change, or modifies its base."""
    original = copy.deepcopy(base)
    difference = json.loads(json.dumps(diff_documents(base, document)))
    result = apply_diff(base, difference)
    assert document_digest(result) == document_digest(document)
    assert document_digest(base) == document_digest(original)


@given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_wrong_base_is_noticed(base, document, other):
    """Guards against a result that is none of the revisions."""
    difference = diff_documents(base, document)
    try:
        result = apply_diff(other, difference)
    except DiffMismatch:
        return
    assert document_digest(result) == document_digest(document)


def test_same_document_needs_no_change():
    """Guards against differences that grow with the size of the document."""
    document = {"w": {f"n{n}": {"share": n} for n in range(100)}}
    changed = copy.deepcopy(document)
    changed["w"]["n5"]["share"] = 6
    del changed["w"]["n7"]
    difference = diff_documents(document, changed)
    assert difference["set"] == [[["w", "n5", "share"], 6]]
    assert difference["remove"] == [["w", "n7"]]
    result = apply_diff(document, difference)
    assert result["w"]["n8"] is document["w"]["n8"]


@pytest.mark.parametrize(
    "difference",
    [
        {},
        [],
        None,
        {"set": 1, "remove": [], "digest": ""},
        {"set": [[[], 1]], "remove": [], "digest": ""},
        {"set": [[["a", "b"], 1]], "remove": [], "digest": ""},
        {"set": [], "remove": [["x"]], "digest": ""},
        {"set": [], "remove": [], "digest": "no"},
    ],
)
def test_malformed_difference_is_a_mismatch(difference):
    """Guards against other exceptions: only DiffMismatch starts a full transfer."""
    with pytest.raises(DiffMismatch):
        apply_diff({"a": 1}, difference)
