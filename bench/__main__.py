"""Runs the benchmarks and writes build/bench.json."""

import importlib
import json
import pkgutil
import sys
from pathlib import Path

import bench

OUTPUT = Path("build/bench.json")


def _script_names(names: list[str]) -> list[str]:
    """Return the chosen scripts, or by default all public modules of ``bench``."""
    found = [module.name for module in pkgutil.iter_modules(bench.__path__)]
    return names or [name for name in sorted(found) if not name.startswith("_")]


def _format_row(row: dict) -> str:
    holds = {True: "holds", False: "MISSED", None: ""}[row.get("holds")]
    values = f"{row['value']!s:>14} {row['unit']:<12}"
    compared = f"baseline {row.get('baseline')}, bound {row.get('bound')}"
    return f"{row['name']:<60} {values} {compared} {holds}"


def main() -> None:
    """Run the scripts named on the command line, or all."""
    rows = []
    for name in _script_names(sys.argv[1:]):
        module = importlib.import_module(f"bench.{name}")
        if not hasattr(module, "run"):
            continue
        print(f"-- {name}", flush=True)
        for row in module.run():
            rows.append(row)
            print(_format_row(row), flush=True)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(rows, indent=1), encoding="utf-8")
    print(f"{len(rows)} rows written to {OUTPUT}")


if __name__ == "__main__":
    main()
