"""Compares the models of targets with the stand-ins of demo/ and soak/ as processes.

Each stand-in gets one load of random arrivals over loopback; its model gets the same
arrivals, with the parameters that the stand-in's own constants state. A median or 95th
percentile of the model is held to lie within a fifth of that of the process.

The stand-ins have no places, memory or batches: what is compared are the durations and
how streams and calls run beside each other. Queues are compared with closed forms in
tests/test_target_models.py.
"""

import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import attrs
import curio

from demo.loopback import free_addresses
from tests import soak_relay
from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_target import HttpTargetClient
from wagtailrun.exceptions import TargetFailed
from wagtailrun.experiments.target_models import (
    EngineModel,
    EngineParameters,
    EngineRequest,
    Piece,
    PlainModel,
    PlainParameters,
    StageCall,
    StageModel,
    StageParameters,
)
from wagtailrun.ports.link import Address
from wagtailrun.ports.target import Attempt

ROOT = Path(__file__).parent.parent
SEED = 1
REQUESTS = 400
START_TIMEOUT_S = 20.0
TIMEOUT_MS = 20_000
TOLERANCE = 0.2
BOUND = f"{1 - TOLERANCE:g} to {1 + TOLERANCE:g} x baseline"
# The stand-in counts the time between tokens from the start of each stream, the model
# by the steps of its batch: a first event has half a step more on average.
NAMED_DIFFERENCES = {("engine", "first event")}
MANY = 100_000
# Of the stand-in of demo/.
TOKEN_MS = 22
TOKENS = 20
# Of the stage of soak/, a call of any number of pieces.
STAGE_CALL_MS = 50.0
PIECES = 3
RATES_PER_S = {"engine": 20.0, "stage": 20.0, "plain": 20.0}

# Times of one request in milliseconds, by name.
Times = dict[str, float]


@attrs.frozen
class Sent:
    """A request of the load: when it was sent, and what it experienced."""

    at_ms: float
    times: Times


def run() -> list[dict[str, Any]]:
    """Return a row for each figure: the value is that of the model."""
    rows = []
    for name, measure, model in (
        ("engine", measure_engine, model_engine),
        ("stage", measure_stage, model_stage),
        ("plain", measure_plain, model_plain),
    ):
        sent = measure()
        modelled = model([each.at_ms for each in sent])
        for figure in sent[0].times:
            for percent in (50, 95):
                is_held = (name, figure) not in NAMED_DIFFERENCES
                real = percentile([each.times[figure] for each in sent], percent)
                value = percentile([times[figure] for times in modelled], percent)
                rows.append(
                    {
                        "name": f"target_models: {name}, {figure}, p{percent}",
                        "unit": "ms",
                        "better": "lower",
                        "baseline": round(real, 1),
                        "value": round(value, 1),
                        "bound": BOUND if is_held else None,
                        "holds": abs(value - real) <= TOLERANCE * real
                        if is_held
                        else None,
                    }
                )
    return rows


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile by the nearest rank."""
    return sorted(values)[max(len(values) * percent // 100 - 1, 0)]


# Stand-ins


def measure_engine() -> list[Sent]:
    """Return the times of streams of the stub target of demo/."""
    address, nobody = free_addresses(2)
    command = ["demo.stub_target", "--name", "stub", "--address", str(address)]
    command += ["--service", "engines", "--data-centre", "east"]
    command += ["--entries", str(nobody), "--token-ms", str(TOKEN_MS)]
    target = HttpTargetClient(HttpClient())

    async def send(number: int) -> Times:
        body = {"input": {"prompt": f"p{number}", "tokens": TOKENS}}
        attempt = Attempt(
            number=number,
            request_id=f"r{number}",
            path="/v1/stages/generate",
            body=json.dumps(body).encode(),
            remaining_ms=TIMEOUT_MS,
            # On connections used before, the server's kernel holds small writes back
            # until the client's delayed acknowledgement, up to 40 ms.
            new_connection=True,
        )
        started_s, first_s = time.perf_counter(), 0.0
        async for _ in target.stream(address, attempt):
            first_s = first_s or time.perf_counter()
        ended_s = time.perf_counter()
        return {
            "first event": (first_s - started_s) * 1e3,
            "whole stream": (ended_s - started_s) * 1e3,
        }

    with process(command):
        return curio.run(send_load, RATES_PER_S["engine"], address, send)


def measure_stage() -> list[Sent]:
    """Return the times of calls of the stage of soak/."""

    def make(number: int) -> tuple[str, bytes]:
        items = [{"id": number, "stage": 0, "piece": n} for n in range(PIECES)]
        return "/stage-run", json.dumps({"items": items}).encode()

    return measure_soak("i-stage", RATES_PER_S["stage"], make)


def measure_plain() -> list[Sent]:
    """Return the times of calls of the plain service of soak/."""
    path = soak_relay.PATHS["query"]
    return measure_soak("i-desk", RATES_PER_S["plain"], lambda number: (path, b"{}"))


def measure_soak(
    name: str, rate_per_s: float, make: Callable[[int], tuple[str, bytes]]
) -> list[Sent]:
    """Return the times of requests at one of the relay's targets of soak/."""
    names = ["i-stage", "i-desk", "i-engine-1", "nobody"]
    addresses = dict(zip(names, free_addresses(len(names)), strict=True))
    client = HttpClient()

    async def send(number: int) -> Times:
        path, body = make(number)
        headers = ((soak_relay.ID_HEADER, f"r{number}"),)
        started_s = time.perf_counter()
        await client.request(
            addresses[name], "POST", path, headers, body, timeout_ms=TIMEOUT_MS
        )
        return {"answer": (time.perf_counter() - started_s) * 1e3}

    with tempfile.TemporaryDirectory() as folder:
        targets = {each: str(addresses[each]) for each in names[:3]}
        plan = {
            "kind": "relay",
            "seed": SEED,
            "callers_per_entry": 1,
            "report_addresses": [str(addresses["nobody"])],
            "target_addresses": targets,
            "reported_addresses": targets,
            "behaviour_folder": folder,
            "folder": folder,
        }
        path = Path(folder) / "plan.json"
        path.write_text(json.dumps(plan))
        with process(["soak.targets", str(path)]):
            return curio.run(send_load, rate_per_s, addresses[name], send)


@contextmanager
def process(arguments: list[str]) -> Iterator[None]:
    """Run a Python module in a process of its own, and end it."""
    environment = {**os.environ, "PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}"}
    command = [sys.executable, "-m", *arguments]
    started = subprocess.Popen(command, cwd=ROOT, env=environment)
    try:
        yield
    finally:
        started.kill()
        started.wait()


async def send_load(
    rate_per_s: float, address: Address, send: Callable[[int], Awaitable[Times]]
) -> list[Sent]:
    """Send requests at random times, whatever becomes of the earlier ones."""
    await wait_for(address)
    rng = random.Random(SEED)
    begun_s = time.perf_counter()
    due_s = 0.0
    tasks = []
    for number in range(1, REQUESTS + 1):
        due_s += rng.expovariate(rate_per_s)
        await curio.sleep(max(begun_s + due_s - time.perf_counter(), 0.0))
        at_ms = (time.perf_counter() - begun_s) * 1e3
        tasks.append((at_ms, await curio.spawn(send, number)))
    return [Sent(at_ms, await task.join()) for at_ms, task in tasks]


async def wait_for(address: Address) -> None:
    """Wait until a process listens.

    Raises:
        TargetFailed: If it does not in time.
    """
    end_s = time.perf_counter() + START_TIMEOUT_S
    while time.perf_counter() < end_s:
        try:
            sock = await curio.open_connection(address.host, address.port)
        except OSError:
            await curio.sleep(0.05)
            continue
        await sock.close()
        return
    raise TargetFailed(f"nothing listens at {address}")


# Models


def model_engine(arrivals_ms: list[float]) -> list[Times]:
    """Return the times of the same streams at an engine of the stand-in's pace."""
    parameters = EngineParameters(
        slots=MANY, step_ms=float(TOKEN_MS), stream_step_ms=0.0, warm_up_ms=0.0
    )
    model = EngineModel(parameters)
    for number, at_ms in enumerate(arrivals_ms):
        model.submit(EngineRequest(str(number), (), TOKENS), at_ms)
    firsts: dict[int, float] = {}
    lasts: dict[int, float] = {}
    for event in model.advance(arrivals_ms[-1] + TIMEOUT_MS):
        number = int(event.request)
        firsts.setdefault(number, event.at_ms)
        lasts[number] = event.at_ms
    return [
        {"first event": firsts[number] - at_ms, "whole stream": lasts[number] - at_ms}
        for number, at_ms in enumerate(arrivals_ms)
    ]


def model_stage(arrivals_ms: list[float]) -> list[Times]:
    """Return the times of the same calls at a stage of the stand-in's pace."""
    parameters = StageParameters(
        places=MANY, call_ms=STAGE_CALL_MS, piece_ms=0.0, memory_bytes=1e12
    )
    model = StageModel(parameters)
    for number, at_ms in enumerate(arrivals_ms):
        model.submit(StageCall(str(number), (Piece(),) * PIECES), at_ms)
    return answer_times(model.advance(arrivals_ms[-1] + TIMEOUT_MS), "call")


def model_plain(arrivals_ms: list[float]) -> list[Times]:
    """Return the times of the same calls at a service of the stand-in's pace.

    The stand-in's rare long silences are not in the model.
    """
    mean_ms = soak_relay.MAX_SILENT_MS / 2
    parameters = PlainParameters(slots=MANY, service_ms=mean_ms, spread=1.0)
    model = PlainModel(parameters, SEED)
    for number, at_ms in enumerate(arrivals_ms):
        model.submit(str(number), at_ms)
    return answer_times(model.advance(arrivals_ms[-1] + TIMEOUT_MS), "request")


def answer_times(answers: list[Any], key: str) -> list[Times]:
    """Return the times of answers, in the order of the requests."""
    ranked = sorted(answers, key=lambda answer: int(getattr(answer, key)))
    return [{"answer": answer.run_ms} for answer in ranked]


def main() -> None:
    """Print the rows."""
    for row in run():
        print(json.dumps(row))


if __name__ == "__main__":
    main()
