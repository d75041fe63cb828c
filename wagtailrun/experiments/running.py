"""Plays the variants and seeds of an experiment in parallel processes."""

import multiprocessing
import os
import signal
from collections import deque
from collections.abc import Sequence
from multiprocessing import resource_tracker
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path

import attrs

from wagtailrun.exceptions import ExperimentFailed, WagtailrunError
from wagtailrun.experiments.decisions import DecisionFile
from wagtailrun.experiments.model import Experiment, Scenario
from wagtailrun.experiments.play import play_scenario
from wagtailrun.experiments.progress import Progress
from wagtailrun.experiments.records import DECISIONS_FILE, PromiseRecord
from wagtailrun.experiments.results import (
    Play,
    ResultsDirectory,
    make_play_directory,
    write_play,
)

__all__ = ["default_jobs", "run_experiment"]

MAX_DEFAULT_JOBS = 4
# How long a process may take to end after it was told to.
END_S = 5
END_SIGNALS = (signal.SIGINT, signal.SIGTERM)


@attrs.frozen
class _Message:
    """What the process of a play reports: its time, its promises or an error."""

    at_ms: int = 0
    promises: tuple[PromiseRecord, ...] | None = None
    error: str = ""


def default_jobs() -> int:
    """Return how many plays run at once: half of the processors, at most 4."""
    return max(1, min((os.cpu_count() or 1) // 2, MAX_DEFAULT_JOBS))


def run_experiment(
    experiment: Experiment,
    directory: Path,
    variants: Sequence[str],
    seeds: Sequence[int],
    jobs: int,
    *,
    decisions: bool = False,
) -> dict[Play, tuple[PromiseRecord, ...]]:
    """Play variants and seeds, and write the results.

    Args:
        experiment: Checked experiment.
        directory: Results directory, which must be empty or not exist.
        variants: Names of the variants to play.
        seeds: Seeds to play of each.
        jobs: Largest number of processes at once.
        decisions: Whether to keep the decisions about requests.

    Returns:
        The promises of each play, in order of variants and seeds.

    Raises:
        ExperimentFailed: If a play failed or its results cannot be written.
        KeyboardInterrupt: On SIGINT or SIGTERM, once all processes have ended. The
            results of the plays that ended before stay.
    """
    results = ResultsDirectory(directory, experiment, variants, seeds)
    plays = [Play(variant, seed) for variant in variants for seed in seeds]
    progress = Progress(len(plays), experiment.length_ms)
    runner = _Runner(experiment, results, progress, decisions)
    # SIGTERM, too, leaves no process behind.
    before = signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        runner.run(deque(plays), jobs)
    finally:
        signal.signal(signal.SIGTERM, before)
        progress.close()
    return {play: runner.found[play] for play in plays}


class _Runner:
    """Starts and ends the processes of plays."""

    def __init__(
        self,
        experiment: Experiment,
        results: ResultsDirectory,
        progress: Progress,
        decisions: bool,
    ):
        self.decisions = decisions
        self.experiment = experiment
        self.results = results
        self.progress = progress
        # A forked process would share the state of libraries of this one.
        self.processes = multiprocessing.get_context("spawn")
        self.running: dict[Connection, tuple[Play, SpawnProcess]] = {}
        self.found: dict[Play, tuple[PromiseRecord, ...]] = {}

    def run(self, waiting: deque[Play], jobs: int) -> None:
        """Run all plays.

        An interrupt takes effect only while this process waits. Elsewhere it would
        leave a process that is not known here, or results that ``run.json`` lacks.
        """
        # Its start, with the first process, would unblock the signals.
        resource_tracker.ensure_running()
        signal.pthread_sigmask(signal.SIG_BLOCK, END_SIGNALS)
        try:
            while waiting or self.running:
                while waiting and len(self.running) < jobs:
                    self._start(waiting.popleft())
                for connection in self._wait():
                    self._receive(connection)
        finally:
            self._end_all()
            signal.pthread_sigmask(signal.SIG_UNBLOCK, END_SIGNALS)

    def _wait(self) -> list[Connection]:
        """Return the connections with messages."""
        try:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, END_SIGNALS)
            ready = wait(list(self.running))
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, END_SIGNALS)
        return [each for each in ready if isinstance(each, Connection)]

    def _start(self, play: Play) -> None:
        receiver, sender = self.processes.Pipe(duplex=False)
        scenario = self.experiment.scenarios_by_variant[play.variant]
        directory = self.results.unfinished(play)
        arguments = (sender, scenario, play.seed, directory, self.decisions)
        process = self.processes.Process(target=_play_in_process, args=arguments)
        process.start()
        self.running[receiver] = play, process
        # The end of the process is noticed only if no one else can send.
        sender.close()

    def _receive(self, connection: Connection) -> None:
        play, process = self.running[connection]
        try:
            message: _Message = connection.recv()
        except EOFError:
            process.join()
            detail = f"its process ended with status {process.exitcode}"
            message = _Message(error=detail)
        if message.error:
            name = f"variant {play.variant}, seed {play.seed}"
            raise ExperimentFailed(f"{name}: {message.error}")
        if message.promises is None:
            self.progress.advance(play, message.at_ms)
            return
        del self.running[connection]
        connection.close()
        process.join()
        self.results.add(play)
        self.found[play] = message.promises
        self.progress.finish(play)

    def _end_all(self) -> None:
        """End the processes that still run, and drop their results."""
        for _, process in self.running.values():
            process.terminate()
        for play, process in self.running.values():
            process.join(END_S)
            if process.is_alive():
                process.kill()
                process.join()
            self.results.drop(play)


def _play_in_process(
    connection: Connection,
    scenario: Scenario,
    seed: int,
    directory: Path,
    keeps_decisions: bool,
) -> None:
    """Play, write the records and report; the entry point of a process."""
    # A terminal sends SIGINT to all its processes; this one is ended by its parent.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, END_SIGNALS)

    def send(message: _Message) -> None:
        try:
            connection.send(message)
        except BrokenPipeError:
            # The parent was killed, so that nobody waits for the results. An exception
            # would end only one task of the play.
            os._exit(1)

    try:
        decisions = None
        if keeps_decisions:
            make_play_directory(directory)
            decisions = DecisionFile(directory / DECISIONS_FILE)
        records = play_scenario(
            scenario, seed, lambda at_ms: send(_Message(at_ms)), decisions
        )
        if decisions is not None:
            decisions.close()
        write_play(directory, records)
        send(_Message(promises=tuple(records.promises)))
    except WagtailrunError as error:
        send(_Message(error=str(error)))
    except Exception as error:
        send(_Message(error=f"the play failed: {error!r}"))
