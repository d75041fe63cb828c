"""Tests of runs of experiments: processes, results, interrupts."""

import errno
import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.test_experiment_reading import HEAD, LOAD, PROMISES, TARGETS, WHOLE, write
from wagtailrun.cli import commands as cli
from wagtailrun.exceptions import ExperimentFailed
from wagtailrun.experiments import progress, results, running
from wagtailrun.experiments.records import PlayRecords
from wagtailrun.experiments.results import Play

ROOT = Path(__file__).parent.parent
SHORT = WHOLE.replace("length_s = 20", "length_s = 10")


def start(*arguments, **options):
    command = [sys.executable, "-m", "wagtailrun", "experiment", "run"]
    # A shell starts background jobs, as this test run may be one, with SIGINT ignored;
    # the command would inherit that.
    before = signal.signal(signal.SIGINT, signal.SIG_DFL)
    try:
        return subprocess.Popen(
            [*command, *map(str, arguments)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            **options,
        )
    finally:
        signal.signal(signal.SIGINT, before)


def run(*arguments, **options):
    process = start(*arguments, **options)
    out, err = process.communicate()
    assert "Traceback" not in err, err
    return process.returncode, out, err


def files_of(directory):
    paths = sorted(path for path in directory.rglob("*") if path.is_file())
    return {str(path.relative_to(directory)): path.read_bytes() for path in paths}


def plays_of(pid):
    """Return the process identifiers of the plays that a run has started.

    Its other child belongs to multiprocessing and ends when the run has ended.
    """
    children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    return [child for child in children if "spawn_main" in command_of(child)]


def command_of(pid):
    try:
        return Path(f"/proc/{pid}/cmdline").read_text()
    except OSError:
        return ""


def test_same_file_gives_the_same_bytes(tmp_path):
    """Guards against results that depend on hashes, processes or the wall clock."""
    path = write(tmp_path, SHORT)
    found = []
    for number, jobs in enumerate((1, 3)):
        out = tmp_path / f"out-{number}"
        environment = {**os.environ, "PYTHONHASHSEED": str(number)}
        code, _, err = run(path, "--out", out, "--jobs", jobs, env=environment)
        assert code == 0, err
        assert "4 of 4 plays have ended" in err
        found.append(files_of(out))
    assert found[0] == found[1]
    names = ("events.jsonl", "promises.json", "requests.jsonl", "samples.jsonl")
    assert sorted(found[0]) == sorted(
        ["experiment.toml", "run.json"]
        + [f"{v}/{s}/{n}" for v in ("base", "double") for s in (7, 8) for n in names]
    )
    assert found[0]["experiment.toml"] == path.read_bytes()
    requests = {name: data for name, data in found[0].items() if "requests" in name}
    assert len(set(requests.values())) == 4


def test_chosen_variants_and_seeds(tmp_path):
    """Guards against more plays than were asked for, and a wrong run.json."""
    path, out = write(tmp_path, SHORT), tmp_path / "out"
    code, rows, err = run(path, "--out", out, "--variant", "double", "--seeds", 1)
    assert code == 0, err
    assert "served" in rows
    assert json.loads((out / "run.json").read_text()) == {
        "format": 1,
        "version": "0.1.0",
        "name": "small",
        "world": "emulator",
        "length_ms": 10_000,
        "variants": ["double"],
        "seeds": [7],
        "finished": [["double", 7]],
        "complete": True,
    }
    assert [each.name for each in (out / "double").iterdir()] == ["7"]


@pytest.mark.parametrize("command", ["check", "run", "compare"])
def test_help_has_an_example(capsys, command):
    """Guards against a command whose help has no example."""
    with pytest.raises(SystemExit) as error:
        cli.main(["experiment", command, "--help"])
    assert error.value.code == 0
    assert f"Example: wagtailrun experiment {command} " in capsys.readouterr().out


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("--variant", "none"), "'none' is no variant; choose from base, double"),
        (("--seeds", "3"), "--seeds: 3 is not accepted; give 1 to 2"),
        (("--seeds", "0"), "--seeds: 0 is not accepted"),
        (("--jobs", "0"), "--jobs: 0 is not accepted"),
    ],
)
def test_bad_arguments(tmp_path, capsys, arguments, message):
    """Guards against a typing error that plays something else."""
    out = tmp_path / "out"
    with pytest.raises(SystemExit) as error:
        command = ["experiment", "run", str(write(tmp_path)), "--out", str(out)]
        cli.main([*command, *arguments])
    assert error.value.code == 2
    assert message in capsys.readouterr().err
    assert not out.exists()


def test_broken_promise_has_its_exit_code(tmp_path):
    """Guards against a broken promise that looks like success or another error."""
    text = HEAD.replace("[7, 8]", "1").replace("= 20", "= 10") + TARGETS + LOAD
    text += PROMISES.replace("bound = 0.5", 'bound = 0\nworkspace = "clerks"')
    text += PROMISES.replace("bound = 1", "bound = 0").replace("name = ", 'name = "x')
    path = write(tmp_path, text.replace('"x"', '"x-'))
    code, rows, _ = run(path, "--out", tmp_path / "out")
    assert code == 3
    assert "ran 1 times" in rows
    run_file = json.loads((tmp_path / "out/run.json").read_text())
    assert run_file["complete"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupt_leaves_a_partial_result_and_no_process(tmp_path, number):
    """Guards against processes that go on, or a partial result that looks complete."""
    path, out = write(tmp_path, WHOLE.replace("[7, 8]", "200")), tmp_path / "out"
    process = start(path, "--out", out, "--jobs", 2, "--variant", "base")
    assert "1 of 200" in process.stderr.readline()
    plays = []
    # Between two plays there may be no process for a moment.
    while not plays:
        plays = plays_of(process.pid)
    process.send_signal(number)
    _, err = process.communicate()
    assert process.returncode == 130
    assert "interrupted" in err and "Traceback" not in err
    assert not any(map(command_of, plays))
    run_file = json.loads((out / "run.json").read_text())
    assert run_file["complete"] is False
    seeds = sorted(int(each.name) for each in (out / "base").iterdir())
    assert [["base", seed] for seed in seeds] == run_file["finished"]
    assert 1 <= len(seeds) < 200
    assert sorted(os.listdir(out)) == ["base", "experiment.toml", "run.json"]


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.3])
def test_interrupt_from_a_terminal_while_plays_start(tmp_path, after_s):
    """Guards against tracebacks of plays, which a terminal interrupts, too."""
    path = write(tmp_path)
    process = start(path, "--out", tmp_path / "out", start_new_session=True)
    while not plays_of(process.pid):
        time.sleep(0.01)
    # They import the package for some tenths of a second.
    time.sleep(after_s)
    os.killpg(process.pid, signal.SIGINT)
    _, err = process.communicate()
    assert process.returncode == 130
    assert "interrupted" in err and "Traceback" not in err, err


def test_killed_run_leaves_no_process(tmp_path):
    """Guards against plays that go on for hours after their run was killed."""
    path = write(tmp_path, WHOLE.replace("length_s = 20", "length_s = 40000"))
    text = path.read_text().replace("rate_per_s = 2.0", "rate_per_s = 0.1")
    path.write_text(text.replace("burst_rate_per_s = 5", "burst_rate_per_s = 1"))
    process = start(path, "--out", tmp_path / "out", "--jobs", 1)
    plays = []
    while not plays:
        plays = plays_of(process.pid)
        time.sleep(0.1)
    # Time to import the package and to begin the play.
    time.sleep(2)
    process.kill()
    process.communicate()
    while any(map(command_of, plays)):
        time.sleep(0.1)


def test_directory_that_is_not_empty(tmp_path, capsys):
    """Guards against results that overwrite, or mix with, those of another run."""
    out = tmp_path / "out"
    out.mkdir()
    (out / "run.json").write_text("mine")
    with pytest.raises(SystemExit) as error:
        cli.main(["experiment", "run", str(write(tmp_path)), "--out", str(out)])
    assert error.value.code == 1
    assert "is not empty; name another directory" in capsys.readouterr().err
    assert files_of(out) == {"run.json": b"mine"}


def test_directory_that_cannot_be_made(tmp_path, capsys):
    """Guards against a traceback where the results cannot be written."""
    path = write(tmp_path)
    with pytest.raises(SystemExit) as error:
        cli.main(["experiment", "run", str(path), "--out", str(path / "out")])
    assert error.value.code == 1
    assert "cannot write results to" in capsys.readouterr().err


def test_disk_that_fills_up(tmp_path):
    """Guards against cut records that count as a finished play.

    A limit of the size of files stands for the room on the disk.
    """
    path, out = write(tmp_path, SHORT), tmp_path / "out"

    def limit():
        resource.setrlimit(resource.RLIMIT_FSIZE, (5_000, 5_000))

    code, _, err = run(path, "--out", out, "--jobs", 2, preexec_fn=limit)
    assert code == 1
    assert "cannot write results to" in err and "File too large" in err
    run_file = json.loads((out / "run.json").read_text())
    assert (run_file["finished"], run_file["complete"]) == ([], False)
    assert sorted(os.listdir(out)) == ["experiment.toml", "run.json"]


def test_disk_that_is_full_at_the_sync(tmp_path, monkeypatch):
    """Guards against a full disk that shows only when the data are written out."""

    def fail(descriptor):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(results.os, "fsync", fail)
    with pytest.raises(ExperimentFailed, match="No space left on device"):
        results.write_play(tmp_path / "play", PlayRecords([], [], [], []))


def test_default_jobs(monkeypatch):
    """Guards against a run that takes the whole machine."""
    for processors, jobs in ((None, 1), (1, 1), (6, 3), (64, 4)):
        monkeypatch.setattr(running.os, "cpu_count", lambda: processors)  # noqa: B023
        assert running.default_jobs() == jobs


@pytest.mark.parametrize(
    ("terminal", "tqdm", "bar"),
    [(True, True, True), (True, False, False), (False, True, False)],
)
def test_progress(monkeypatch, capsys, terminal, tqdm, bar):
    """Guards against control codes in a log, and a failure without the extra."""
    monkeypatch.setattr(progress.sys.stderr, "isatty", lambda: terminal, raising=False)
    if not tqdm:
        monkeypatch.setitem(sys.modules, "tqdm", None)
    shown = progress.Progress(2, 60_000)
    shown.advance(Play("base", 1), 30_000)
    shown.finish(Play("base", 1))
    shown.close()
    err = capsys.readouterr().err
    assert ("60/120" in err) == bar
    assert ("1 of 2 plays have ended: base, seed 1\n" in err) == (not bar)
