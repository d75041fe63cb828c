"""Tests of the soak: schedules, bad input, its end, and one short run."""

import os
import resource
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from soak.kinds import KINDS
from soak.records import Outcome, RecordReader, RecordWriter, RequestRecord
from soak.schedule import (
    FAULTS_FROM_MS,
    FAULTS_TO_MS,
    PERIOD_MS,
    SIZES,
    ActionKind,
    make_schedule,
)

ROOT = Path(__file__).parent.parent
ENTRIES = [f"front-{number}" for number in range(1, 7)]
CONTROLS = ["core-1", "core-2", "core-3"]
FAULTS = {"reset": ["entries>i-engine-1"], "kill": [*ENTRIES, *CONTROLS]}
MINUTE_MS = 60_000
KEPT, NOT_STARTED, NOT_RUN = 0, 2, 3
RUN_LIMIT_S = 240
START_LIMIT_S = 30


def schedule(seed="7", minutes=5, faults=FAULTS):
    return make_schedule(seed, minutes * MINUTE_MS, ENTRIES, CONTROLS, faults)


def start(folder, *arguments, preexec=None):
    return subprocess.Popen(
        [sys.executable, "-m", "soak", f"--folder={folder}", *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}"},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        preexec_fn=preexec,
    )


def finish(process, limit_s=RUN_LIMIT_S):
    output, _ = process.communicate(timeout=limit_s)
    print(output)
    return process.returncode, output


def test_seed_repeats_its_schedule():
    """Guards against a seed that cannot be run again."""
    assert schedule().text() == schedule().text()
    assert schedule().text() != schedule("8").text()


def test_faults_change_no_planned_work():
    """Guards against a seed whose planned work depends on the kinds of faults."""
    planned = [a for a in schedule().actions if a.kind is not ActionKind.FAULT]
    assert planned == schedule(faults={}).actions


def test_faults_leave_most_of_the_time_to_planned_work():
    """Guards against faults beside planned work that is to be judged alone."""
    faults = [a for a in schedule().actions if a.kind is ActionKind.FAULT]
    assert faults
    for action in faults:
        within_ms = action.at_ms % PERIOD_MS
        assert within_ms >= FAULTS_FROM_MS
        assert within_ms + action.lasts_ms <= FAULTS_TO_MS


def test_schedule_has_each_kind_of_planned_work():
    """Guards against planned work that the soak never does."""
    actions = schedule(minutes=10).actions
    stops = [a for a in actions if a.kind is ActionKind.STOP]
    assert {a.kind for a in actions} == set(ActionKind)
    assert {a.next_grace_ms for a in stops} == {2_000, 4_000, 8_000, 30_000}
    assert any(a.second_ms for a in stops)
    assert any(a.reloads_ms for a in stops)
    assert any(a.stop_in_start_ms for a in stops)
    assert any(a.standstill_at for a in stops)
    assert any(a.has_shortage for a in stops)
    assert any(schedule(str(seed)).descriptors for seed in range(3))
    variants = {a.variant for a in actions if a.kind is ActionKind.CHANGE}
    assert variants == {"valid", "refused", "racing", "large"}
    assert {a.wipes for a in actions if a.kind is ActionKind.REPLACE} == {False, True}
    assert schedule().release_ms


def test_records_are_read_as_they_were_written(tmp_path):
    """Guards against records that are lost between processes, or read twice."""
    record = RequestRecord(
        name="r", entry="e", kind="k", outcome=Outcome.CUT, events=[1, 2]
    )
    path = tmp_path / "file.records"
    reader = RecordReader(path)
    assert reader.read() == []
    writer = RecordWriter(path)
    writer.write(record)
    with path.open("ab") as file:
        file.write(b'["RequestRecord", {"na')
    assert reader.read() == [record]
    assert reader.read() == []


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        ([], "a seed is missing"),
        (["--seed=1", "--size=huge"], "size 'huge' does not exist"),
        (["--seed=1", "--faults=reset,flood"], "fault 'flood' does not exist"),
        (["--seed=1", "--kind=other"], "kind 'other' does not exist"),
        (["--seed=1", "--minutes=0"], "minutes '0' are not above 0"),
        (["--seed=1", "--minutes=soon"], "minutes 'soon' are not above 0"),
    ],
)
def test_bad_input_is_refused(tmp_path, arguments, text):
    """Guards against bad input that is found after processes were started."""
    code, output = finish(start(tmp_path / "files", *arguments))
    assert code == NOT_STARTED
    assert text in output
    assert len(output.splitlines()) == 1
    assert not (tmp_path / "files").exists()


def test_too_few_descriptors_are_told_before_the_start(tmp_path):
    """Guards against a run that fails in the middle for lack of descriptors."""

    def limit():
        resource.setrlimit(resource.RLIMIT_NOFILE, (500, 500))

    code, output = finish(start(tmp_path / "files", "--seed=1", preexec=limit))
    assert (code, "descriptors" in output) == (NOT_STARTED, True)
    assert "actions" not in output


def test_folder_of_another_run_is_refused(tmp_path):
    """Guards against records of two runs in one file."""
    (tmp_path / "callers.records").touch()
    code, output = finish(start(tmp_path, "--seed=1"))
    assert (code, "is not empty" in output) == (NOT_STARTED, True)


def test_regressions_can_be_run():
    """Guards against a seed that is kept without what is needed to run it again."""
    text = (ROOT / "soak" / "regressions.toml").read_text(encoding="utf-8")
    for entry in tomllib.loads(text).get("run", []):
        assert entry["seed"]
        assert entry["cause"]
        assert entry["minutes"] > 0
        assert entry["size"] in SIZES
        assert entry["kind"] in ("", *KINDS)


def processes_of(folder):
    """Return the ids of processes that name a folder in their arguments or settings."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            text = (path / "cmdline").read_bytes() + (path / "environ").read_bytes()
        except OSError:
            continue
        if str(folder).encode() in text:
            found.append(int(path.name))
    return found


@pytest.mark.network
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_soak_ends_its_processes(tmp_path, number):
    """Guards against processes that outlive a soak that was interrupted."""
    folder = tmp_path / "files"
    process = start(folder, "--seed=1", "--kind=relay", "--minutes=5")
    until_s = time.monotonic() + START_LIMIT_S
    # The soak itself, the targets, nine processes of the fleet and the proxy.
    while len(processes_of(folder)) < 11:
        assert time.monotonic() < until_s
        time.sleep(0.1)
    process.send_signal(number)
    code, output = finish(process, START_LIMIT_S)
    assert (code, "interrupted" in output) == (NOT_RUN, True)
    assert processes_of(folder) == []


@pytest.mark.network
def test_short_run_keeps_all_promises(tmp_path):
    """Guards against a promise that planned work breaks, and a soak that does not run.

    A machine that holds the soak itself up for too long shows nothing; it is run again.
    """
    for attempt in range(3):
        folder = tmp_path / str(attempt)
        arguments = ("--seed=1", "--kind=relay", "--minutes=0.75", "--faults=none")
        code, output = finish(start(folder, *arguments))
        if code != NOT_RUN:
            break
    assert code == KEPT
    assert "requests" in output
