"""Tests of what the test run adds to pytest: order of modules, groups."""

from pathlib import Path
from types import SimpleNamespace

from tests.conftest import shuffle_modules
from tests.process_groups import PROCESS_GROUPS, GroupScheduling

MODULES = [f"test_{letter}.py" for letter in "abcdefgh"]


def items():
    return [SimpleNamespace(path=path, number=n) for path in MODULES for n in range(3)]


def scheduling_of(test_id):
    return GroupScheduling._split_scope(None, test_id)


def order(seed):
    shuffled = items()
    shuffle_modules(shuffled, seed)
    return [(item.path, item.number) for item in shuffled]


def test_same_seed_gives_the_same_order():
    """Guards against workers that collect the tests in different orders."""
    assert order("7") == order("7") != order("8")


def test_shuffled_modules_keep_all_tests_in_their_order():
    """Guards against tests that are lost, and fixtures of modules made twice."""
    shuffled = order("7")
    assert sorted(shuffled) == [(item.path, item.number) for item in items()]
    assert [number for _, number in shuffled] == [0, 1, 2] * len(MODULES)
    assert shuffled != sorted(shuffled)


def test_module_of_processes_is_a_unit_with_its_group():
    """Guards against many processes at once, and fixtures of modules made twice."""
    scopes = [
        scheduling_of(f"tests/{module}::test_a[{parameter}]")
        for module in PROCESS_GROUPS[0]
        for parameter in ("a", "b/c::d")
    ]
    assert set(scopes) == {"processes-1"}


def test_other_test_is_a_unit_of_its_own():
    """Guards against workers without work while one runs a long module."""
    name = "tests/test_listener.py::test_a[b]"
    assert scheduling_of(name) == name


def test_modules_of_all_groups_exist():
    """Guards against a renamed module whose processes are no longer limited."""
    modules = [module for group in PROCESS_GROUPS for module in group]
    assert len(modules) == len(set(modules))
    assert all((Path(__file__).parent / module).exists() for module in modules)
