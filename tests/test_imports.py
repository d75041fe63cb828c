"""Tests of the imports between the modules of wagtailrun, against the design page."""

import ast
import re
from collections import defaultdict
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TOP = "wagtailrun"
MAP_HEADER = "| package | owns | may import |"
MAX_FIRST_LEVEL = 30
MAX_LINES = 600


def module_name(path):
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


@cache
def module_paths():
    """Return the files of the package by the names of their modules."""
    return {module_name(path): path for path in (ROOT / TOP).rglob("*.py")}


@cache
def imports():
    """Return the imported modules by module; also imports for types alone."""
    known = module_paths()
    found = defaultdict(set)
    for name, path in known.items():
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.ImportFrom) and node.module:
                assert not node.level, f"{name}: relative import"
                names = {f"{node.module}.{alias.name}" for alias in node.names}
                found[name] |= {
                    each if each in known else node.module for each in names
                }
            elif isinstance(node, ast.Import):
                found[name] |= {alias.name for alias in node.names}
    return {name: found[name] & known.keys() - {name} for name in known}


def find_circle(imported_by_name):
    """Return the names along one circle, or an empty list."""
    done, path = set(), []

    def visit(name):
        if name in path:
            return path[path.index(name) :]
        if name in done:
            return []
        path.append(name)
        for each in sorted(imported_by_name.get(name, ())):
            if circle := visit(each):
                return circle
        path.pop()
        done.add(name)
        return []

    for name in sorted(imported_by_name):
        if circle := visit(name):
            return circle
    return []


def unit_of(module, units):
    """Return the longest of the units that a module belongs to, None without one."""
    parts = module.split(".")[1:]
    for end in range(len(parts), 0, -1):
        if ".".join(parts[:end]) in units:
            return ".".join(parts[:end])
    return None


def read_map():
    """Return what each unit may import, by unit, in the order of the design page."""
    page = (ROOT / "docs" / "design.md").read_text("utf-8")
    allowed_by_unit = {}
    for table in page.split(MAP_HEADER)[1:]:
        for row in table.strip().splitlines()[1:]:
            if not row.startswith("| `"):
                break
            unit, _, allowed = row.strip("| ").split(" | ")
            names = re.findall(r"`([\w.]+)`", allowed)
            allowed_by_unit[unit.strip("`")] = set(names)
    return allowed_by_unit


def forbidden_imports(imported_by_name, allowed_by_unit):
    """Return the imports between units that the map does not allow."""
    forbidden = []
    for name, imported in imported_by_name.items():
        unit = unit_of(name, allowed_by_unit)
        if unit is None:
            # The package itself re-exports some classes.
            continue
        for each in imported:
            other = unit_of(each, allowed_by_unit)
            if other not in (unit, None) and other not in allowed_by_unit[unit]:
                forbidden.append(f"{name} -> {each}")
    return sorted(forbidden)


def test_no_module_is_in_an_import_circle():
    """Guards against modules that can be read, tested and moved only together."""
    assert find_circle(imports()) == []


def test_no_package_is_in_an_import_circle():
    """Guards against packages that depend on each other through several modules."""
    units = dict.fromkeys(read_map())
    imported_by_unit = defaultdict(set)
    for name, imported in imports().items():
        unit = unit_of(name, units)
        others = {unit_of(each, units) for each in imported}
        imported_by_unit[unit] |= others - {unit, None}
    imported_by_unit.pop(None, None)
    assert find_circle(imported_by_unit) == []


def test_packages_import_what_the_design_page_allows():
    """Guards against an import of a package that the map puts above another."""
    assert forbidden_imports(imports(), read_map()) == []


def test_map_of_the_design_page_is_complete_and_in_order():
    """Guards against a map with a missing package, or with one below its imports."""
    allowed_by_unit = read_map()
    first_level = {name.split(".")[1] for name in module_paths() if "." in name}
    assert {unit.split(".")[0] for unit in allowed_by_unit} == first_level
    assert len(first_level) + 1 <= MAX_FIRST_LEVEL
    above = set()
    for unit in reversed(allowed_by_unit):
        assert not allowed_by_unit[unit] & above, unit
        above.add(unit)


def test_packages_import_the_public_modules_of_others():
    """Guards against use of a module that its package keeps to itself."""
    public_by_package = {}
    for name, path in module_paths().items():
        if path.name == "__init__.py" and name != TOP:
            tree = ast.parse(path.read_text("utf-8"))
            rows = [node for node in tree.body if isinstance(node, ast.Assign)]
            has_imports = any(isinstance(node, ast.ImportFrom) for node in tree.body)
            if rows and not has_imports:
                public_by_package[name] = set(ast.literal_eval(rows[0].value))
    hidden = []
    for name, imported in imports().items():
        for each in imported:
            package, _, module = each.rpartition(".")
            public = public_by_package.get(package)
            is_inside = name.startswith(f"{package}.")
            if public is not None and not is_inside and module not in public:
                hidden.append(f"{name} -> {each}")
    assert sorted(hidden) == []


@pytest.mark.parametrize("name", sorted(module_paths()))
def test_module_is_no_longer_than_a_reader_takes_in(name):
    """Guards against modules that grow past one subject."""
    lines = module_paths()[name].read_text("utf-8").count("\n")
    assert lines <= MAX_LINES


def test_circle_is_found():
    """Guards against a check of circles that passes whatever it is given."""
    assert find_circle({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c"]
    assert find_circle({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []


def test_import_of_an_upper_package_is_found():
    """Guards against a check of the map that passes whatever it is given."""
    allowed_by_unit = {"clock": set(), "relay": {"clock"}, "relay.paths": {"clock"}}
    planted = {
        f"{TOP}.clock": {f"{TOP}.relay.paths.tunnels"},
        f"{TOP}.relay.entry": {f"{TOP}.clock"},
    }
    assert forbidden_imports(planted, allowed_by_unit) == [
        f"{TOP}.clock -> {TOP}.relay.paths.tunnels"
    ]
