"""Tests of the checks before a soak starts."""

import resource

import pytest

from soak.fleet import Requirements
from soak.preflight import Machine, check_machine, measure_machine
from soak.records import SoakNotStarted

NEEDS = Requirements(processes=12, memory_mb=1_200, descriptors=4_100)
MACHINE = Machine(memory_mb=1_200, descriptors=4_100, processes=12)


def test_machine_with_just_enough_is_accepted():
    """Guards against a soak that does not start on a machine that suffices."""
    check_machine(NEEDS, MACHINE)


@pytest.mark.parametrize(
    ("machine", "words"),
    [
        (
            Machine(memory_mb=1_199, descriptors=4_100, processes=12),
            ("memory", "1200 MB", "1199 MB", "--size"),
        ),
        (
            Machine(memory_mb=1_200, descriptors=4_099, processes=12),
            ("descriptors", "4100", "4099", "ulimit -n 4100"),
        ),
        (
            Machine(memory_mb=1_200, descriptors=4_100, processes=11),
            ("processes", "12", "11", "ulimit -u"),
        ),
    ],
)
def test_shortage_is_named_with_value_and_remedy(machine, words):
    """Guards against a run that shows the machine's shortage as faults."""
    with pytest.raises(SoakNotStarted) as error:
        check_machine(NEEDS, machine)
    (line,) = str(error.value).splitlines()
    assert all(word in line for word in words)


def test_every_shortage_is_reported_at_once():
    """Guards against shortages that are found one start after another."""
    with pytest.raises(SoakNotStarted) as error:
        check_machine(NEEDS, Machine(memory_mb=0, descriptors=0, processes=0))
    assert len(str(error.value).splitlines()) == 3


def test_machine_is_measured():
    """Guards against a check of numbers that are not those of this machine."""
    machine = measure_machine()
    assert 0 < machine.memory_mb < 1 << 24
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert machine.descriptors in (soft, 1 << 30)
    assert machine.processes > 0
