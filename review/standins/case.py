"""Frame of the review's scripts: a small deployment with engines, and the verdict."""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import time
import traceback
from pathlib import Path

from standins import web
from standins.fleet import ROOT, ZONES, Fleet, Record, free_ports

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "works.example"
KEY = "guild-key-1"
LIMIT_S = 110.0
ENGINE = Path(__file__).with_name("engine.py")


class NotRun(Exception):
    """The case could not be run."""


class Case:
    """A small deployment that serves, with stand-ins for all others.

    Args:
        folder: Folder of the case.
        entries: Number of entries.
    """

    def __init__(self, folder, entries=2):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.fleet = Fleet(entries)
        self.record = Record(Path(folder) / "record.txt")
        self.engine_processes = []
        self.engine_log = self.fleet.folder / "engines.log"
        self.next_host = 101

    def controls(self):
        """Return the addresses of all control members."""
        return [self.fleet.control_address(n) for n in (1, 2, 3)]

    def new_engine(self, name, service, mode, slots=6, **more):
        """Return the row of an engine at an address of its own."""
        host = f"{self.fleet.network}.{self.next_host}"
        self.next_host += 1
        (port,) = free_ports(1, host)
        zone = ZONES[self.next_host % len(ZONES)]
        row = {"id": name, "service": service, "address": f"{host}:{port}"}
        return {**row, "zone": zone, "slots": slots, "mode": mode, **more}

    def start_engines(self, rows):
        """Start a process with these engines."""
        setup = {
            "controls": [f"{host}:{port}" for host, port in self.controls()],
            "log": str(self.engine_log) + f".{len(self.engine_processes)}",
            "engines": rows,
        }
        file = self.fleet.folder / f"engines-{len(self.engine_processes)}.json"
        file.write_text(json.dumps(setup))
        environment = {**os.environ, "PYTHONPATH": str(ENGINE.parent)}
        process = subprocess.Popen(
            [sys.executable, str(ENGINE), str(file)], env=environment
        )
        self.engine_processes.append(process)

    def engine_lines(self):
        """Return what all engines noted."""
        found = []
        for number in range(len(self.engine_processes)):
            file = Path(f"{self.engine_log}.{number}")
            if file.exists():
                found += file.read_text().splitlines()
        return found

    async def begin(self, manifest, rows):
        """Start all, send the first manifest and wait until the entries are ready.

        Raises:
            NotRun: If they do not get ready.
        """
        self.fleet.start()
        if rows:
            self.start_engines(rows)
        answer = await web.put_manifest(self.controls(), manifest, 25.0)
        if answer is None or answer.status != 200:
            raise NotRun("the first manifest was not acknowledged")
        self.record.write(f"manifest {manifest['version']} acknowledged")
        for number in range(1, len(self.fleet.entry_hosts) + 1):
            if not await web.wait_ready(self.fleet.ready_address(number)):
                raise NotRun(f"front-{number} did not get ready")
        self.record.write("all entries are ready")

    async def send(
        self,
        path,
        *,
        entry=1,
        limit_s=5.0,
        method="POST",
        headers=(),
        keep_open=False,
        channel=None,
    ):
        """Send a request of a requester and record it."""
        name = web.new_id()
        pairs = [
            ("Attempt-Id", name),
            ("Credential", KEY),
            ("Deadline-Remaining", str(int(limit_s * 1000))),
            *headers,
        ]
        address = self.fleet.entry_address(entry)
        self.record.write(f"sent {name} {method} {path} to front-{entry}")
        answer = await web.request(
            address,
            method,
            path,
            host=HOST,
            headers=pairs,
            limit_s=limit_s,
            keep_open=keep_open,
            channel=channel,
        )
        answer.name = name
        self.record.write(
            f"answered {name} status={answer.status} complete={answer.complete} "
            f"bytes={answer.body_bytes} after={answer.took_s:.3f} {answer.error}"
        )
        return answer

    async def until_served(self, path, limit_s=20.0, **options):
        """Wait until each entry serves a request, so that it knows the engines.

        Raises:
            NotRun: If one does not.
        """
        ends_s = time.monotonic() + limit_s
        for number in range(1, len(self.fleet.entry_hosts) + 1):
            while True:
                answer = await self.send(path, entry=number, **options)
                if answer.status == 200:
                    break
                if time.monotonic() > ends_s:
                    raise NotRun(f"front-{number} serves nothing")
                await asyncio.sleep(0.3)

    def end(self):
        """End all processes that were started."""
        for line in self.engine_lines():
            self.record.write(f"engine {line}")
        for process in self.engine_processes:
            process.kill()
            process.wait(10)
        self.fleet.end()


def route(name, prefix, kind, service, **more):
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "auth_exempt": False,
        "session_affinity": False,
        "stream_resume": False,
        "gap_target_ms": 250,
        **more,
    }


def manifest(version, routes, services):
    """Return a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 360,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "guild", "api_keys": [KEY], "priority": 1}],
    }


def run(folder, play, entries=2):
    """Run a case and exit with its verdict.

    Args:
        folder: Folder of the case.
        play: Called with the case; returns why the rule was broken, or nothing.
        entries: Number of entries.
    """
    if not (ROOT / "target" / "deps" / "wagtail_platform").is_dir():
        print("could not run: the build line of the deploy file has not run")
        sys.exit(NOT_RUN)
    case = Case(folder, entries)

    async def limited():
        async with asyncio.timeout(LIMIT_S):
            return await play(case)

    status = NOT_RUN
    try:
        broken = asyncio.run(limited())
        status = BROKEN if broken else HELD
        verdict = f"broken: {broken}" if broken else "held"
    except NotRun as error:
        verdict = f"could not run: {error}"
    except BaseException:
        verdict = f"could not run: {traceback.format_exc()}"
    finally:
        with contextlib.suppress(Exception):
            case.end()
    case.record.write(verdict)
    print(verdict)
    sys.exit(status)
