"""Tests of the records in the account files."""

import pytest

from wagtailrun.accounts.files import join_records, split_records
from wagtailrun.exceptions import CorruptRecord

RECORDS = [b"first" * 10, b"second" * 10, b"third" * 10]
LAST = len(join_records(RECORDS[:2]))


def damaged(start, end, value):
    data = bytearray(join_records(RECORDS))
    for position in range(start, end):
        data[position] = value(data[position])
    return bytes(data)


@pytest.mark.parametrize("position", range(LAST, len(join_records(RECORDS))))
@pytest.mark.parametrize("value", [lambda byte: byte ^ 0xFF, lambda byte: 0])
def test_damaged_end_is_cut_off(position, value):
    """Guards against a refused start after a loss of power in a write.

    The pages of the last record may reach the disk in any order, or as zeros.
    """
    size = len(join_records(RECORDS))
    for data in (damaged(position, size, value), damaged(LAST, position + 1, value)):
        if data == join_records(RECORDS):
            continue
        assert split_records("log", data, True) == (RECORDS[:2], LAST)
        with pytest.raises(CorruptRecord):
            split_records("rows", data, False)


@pytest.mark.parametrize("position", range(LAST))
def test_damage_before_a_whole_record_is_reported(position):
    """Guards against acknowledged rows that are cut off like a torn record."""
    data = damaged(position, position + 1, lambda byte: byte ^ 0xFF)
    with pytest.raises(CorruptRecord, match="offset"):
        split_records("log", data, True)
