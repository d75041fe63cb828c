"""Tests of the control side of the long poll for the fleet configuration."""

import json
import tomllib

import pytest

from bench.gossip_cluster import FLEET_TEXT
from wagtailrun.control.text_watch import ConfigurationLongPoll
from wagtailrun.fleet.diff import apply_diff
from wagtailrun.registry.messages import WatchText
from wagtailrun.virtual_time import run_virtual


def workspace(number):
    return f"\n[workspaces.w{number}]\nshare = {number}\n"


def test_poll_ends_at_once_with_a_change_and_else_in_time():
    """Guards against a change that is sent only when the poll times out."""
    current = [1, FLEET_TEXT]

    async def main(clock):
        long_poll = ConfigurationLongPoll(clock, lambda: tuple(current))
        assert (await long_poll.watch(WatchText(0, 1_000))).text == FLEET_TEXT
        assert clock.now_ms() == 0
        nothing = await long_poll.watch(WatchText(1, 1_000))
        assert (nothing.revision, nothing.text, clock.now_ms()) == (1, "", 1_000)
        current[:] = [2, FLEET_TEXT + workspace(1)]
        update = await long_poll.watch(WatchText(1, 1_000))
        assert (update.revision, update.base_revision, update.text) == (2, 1, "")
        assert clock.now_ms() == 1_000
        document = apply_diff(tomllib.loads(FLEET_TEXT), json.loads(update.difference))
        assert document == tomllib.loads(current[1])

    run_virtual(main)


@pytest.mark.parametrize(("base", "whole"), [(1, True), (7, True), (8, False)])
def test_only_kept_revisions_are_bases(base, whole):
    """Guards against a difference from a base that is no longer stored."""
    current = [0, ""]

    async def main(clock):
        long_poll = ConfigurationLongPoll(
            clock, lambda: tuple(current), kept_revisions=3
        )
        text = FLEET_TEXT
        for revision in range(1, 11):
            text += workspace(revision)
            current[:] = [revision, text]
            await long_poll.watch(WatchText(0, 0))
        update = await long_poll.watch(WatchText(base, 0))
        assert (update.text == text, update.difference == "") == (whole, whole)
        assert len(long_poll.documents_by_revision) == 3

    run_virtual(main)


def test_nothing_is_answered_before_the_first_text():
    """Guards against an exception before the first fleet configuration."""

    async def main(clock):
        long_poll = ConfigurationLongPoll(clock, lambda: (0, ""))
        return await long_poll.watch(WatchText(0, 200))

    assert run_virtual(main).revision == 0
