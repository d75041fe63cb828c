"""Makes a small results directory, as docs/experiments.md describes it."""

import json
import random

STAGES = ("encode", "generate")
LENGTH_MS = 20_000
CENTRES = ("riverside", "north-mill")


def make_request(number, rng, *, served=0.8, slower_ms=0):
    """Return one request record; a share of ``served`` is served."""
    at_ms = number * 100
    first_ms = 100 + rng.randrange(300) + slower_ms
    ended_ms = first_ms + rng.randrange(500)
    outcome = "served"
    if rng.random() >= served:
        outcome = rng.choice(["late", "refused", "refused", "failed", "broken"])
    reason = {"refused": rng.choice(["overloaded", "deadline"]), "failed": "internal"}
    is_whole = outcome in ("served", "late")
    if outcome == "refused":
        first_ms, ended_ms = None, rng.choice([5, 50, 500, 1_500])
    if outcome == "failed":
        first_ms = ended_ms = None
    steps = [
        {
            "stage": stage,
            "target": f"{stage}-{rng.randrange(3)}",
            "queue_ms": rng.randrange(20),
            "run_ms": rng.randrange(1, 200),
            "first_ms": rng.randrange(1, 50),
        }
        for stage in STAGES
    ]
    return {
        "number": number,
        "workspace": rng.choice(["stockists", "mills"]),
        "data_centre": rng.choice(CENTRES),
        "entry": "front-1",
        "kind": "pipeline",
        "name": "stockist-query",
        "intended_at_ms": at_ms,
        "sent_at_ms": at_ms + rng.randrange(3),
        "deadline_ms": 4_000,
        "prompt_tokens": 50,
        "max_tokens": 20,
        "outcome": outcome,
        "reason": reason.get(outcome, ""),
        "verdict": "not-run" if outcome == "refused" else "",
        "retry_after_ms": 800 if outcome == "refused" else 0,
        "first_ms": first_ms,
        "ended_ms": ended_ms,
        "tokens": 20 if is_whole else 0,
        "attempts": len(steps) + (number % 7 == 0),
        "hedges": 0,
        "wasted_ms": 30 if number % 7 == 0 else 0,
        "steps": steps if is_whole else [],
    }


def make_events():
    """Return a fault, one without end, and planned work."""
    rows = [
        (4_000, 7_000, "cut", ["riverside", "north-mill"], False),
        (9_000, 12_000, "roll", ["front-1"], True),
        (15_000, None, "slow-target", ["generate-1"], False),
    ]
    fields = ("at_ms", "until_ms", "kind", "subject", "planned")
    return [dict(zip(fields, row, strict=True)) for row in rows]


def make_samples(rng):
    """Return a sample of each target a second."""
    return [
        {
            "at_ms": second * 1_000,
            "target": f"{stage}-{number}",
            "service": stage,
            "data_centre": CENTRES[number % 2],
            "running": rng.randrange(5),
            "queued": rng.randrange(3),
            "capacity": 8,
            "present": True,
        }
        for second in range(LENGTH_MS // 1_000)
        for stage in STAGES
        for number in range(3)
    ]


def make_promises(held=True):
    """Return two promises, of which the second is held or broken."""
    return [
        {
            "name": "first token, 95th percentile",
            "bound": 1_200,
            "measured": 384,
            "unit": "ms",
            "held": True,
            "detail": "",
        },
        {
            "name": "refusals held",
            "bound": 0,
            "measured": 0 if held else 4,
            "unit": "requests",
            "held": held,
            "detail": "" if held else "request 17",
        },
    ]


def write_lines(path, rows):
    path.write_text("".join(json.dumps(row) + "\n" for row in rows), "utf-8")


def make_results(path, *, variants=("base",), seeds=(1, 2, 3), requests=200, **options):
    """Write a results directory and return its path.

    Args:
        path: Path of the directory, which must not exist.
        variants: Names of variants, or keyword arguments of ``make_request`` by name.
        seeds: Seeds.
        requests: Requests of each play.
        options: Fields of ``run.json`` that differ.
    """
    path.mkdir()
    (path / "experiment.toml").write_text('name = "made"\n', "utf-8")
    by_name = variants if isinstance(variants, dict) else dict.fromkeys(variants, {})
    run = {
        "format": 1,
        "version": "0.1.0",
        "name": "made",
        "world": "emulator",
        "length_ms": LENGTH_MS,
        "variants": list(by_name),
        "seeds": list(seeds),
        "finished": [[name, seed] for name in by_name for seed in seeds],
        "complete": True,
    }
    (path / "run.json").write_text(json.dumps({**run, **options}), "utf-8")
    for name, arguments in by_name.items():
        for seed in seeds:
            play = path / name / str(seed)
            play.mkdir(parents=True)
            # The same draws in all variants, as plays of one seed share their load.
            rng = random.Random(seed)
            rows = (make_request(n, rng, **arguments) for n in range(requests))
            write_lines(play / "requests.jsonl", rows)
            write_lines(play / "events.jsonl", make_events())
            write_lines(play / "samples.jsonl", make_samples(rng))
            promises = make_promises(held=seed != 2)
            (play / "promises.json").write_text(json.dumps(promises), "utf-8")
    return path
