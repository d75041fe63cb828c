"""Tests that garbage collections of a daemon leave out what its start has loaded."""

import json
import subprocess
import sys

PROGRAM = """
import gc, json, os, weakref
import curio
from wagtailrun.process.process_exit import run_then_exit

class Item:
    pass

gc.disable()
held = [[] for _ in range(1_000)]
dead = Item()
dead.cycle, known = dead, weakref.ref(dead)
del dead

async def daemon():
    later = [[] for _ in range(1_000)]
    looked_at = {id(item) for item in gc.get_objects()}
    found = {
        "start": sum(id(item) in looked_at for item in held),
        "later": sum(id(item) in looked_at for item in later),
        "garbage": known() is not None,
    }
    os.write(1, json.dumps(found).encode())

curio.run(run_then_exit, daemon)
"""


def test_collections_of_a_daemon_leave_out_the_objects_of_its_start():
    """Guards against pauses of 20 ms and more, in which a daemon answers nobody.

    All daemons run by ``run_then_exit``. Garbage of the start is not kept, and objects
    that are made later are collected.
    """
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, timeout=60, check=True
    )
    found = json.loads(done.stdout)
    assert found == {"start": 0, "later": 1_000, "garbage": False}
