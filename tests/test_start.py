"""Tests that the relay daemons start with every form of settings of the platform."""

import json
import math
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from wagtail_platform.__main__ import _load
from wagtail_platform.documents import read_document
from wagtail_platform.requests import PlatformWire

from demo.processes import free_addresses
from wagtailrun.adapters.http_server import Request
from wagtailrun.clock import SystemClock
from wagtailrun.discovery.view import FleetView
from wagtailrun.exceptions import FleetTextError, SettingsError
from wagtailrun.gossip.messages import EntryRow
from wagtailrun.ports.link import Address
from wagtailrun.settings import (
    RelayControlSettings,
    RelayEntrySettings,
    read_settings_file,
)

ROOT = Path(__file__).parent.parent
START_S = 20
PLACEHOLDER = re.compile(r"\{\{([^{}]+)\}\}")


def number_forms(low, high):
    """Return texts of numbers as a platform may render them."""
    whole = st.integers(math.ceil(low), int(high)).map(str)
    fraction = st.floats(low, high, allow_nan=False).map(repr)
    exponent = st.floats(low, high, allow_nan=False).map(lambda x: f"{x:.6e}")
    return st.one_of(whole, fraction, exponent, st.just(""))


NAMES = st.text("abcxyzäñ019-._/:", min_size=1, max_size=255)
ADDRESSES = st.integers(1, 254).map(lambda n: f"10.1.0.{n}:8628")


@st.composite
def platform_settings(draw):
    """Draw the values that the platform fills in, in all forms of its pages."""
    day_ms, many = 86_400_000, 1_000_000
    return {
        "node_name": draw(NAMES),
        "zone": draw(NAMES),
        "ip": "10.1.0.41",
        "listen.front": "10.1.0.41:8625",
        "listen.ready": "10.1.0.41:8621",
        "listen.control": "10.1.0.41:8625",
        "internal_ports.0": draw(st.sampled_from(["7740", "9464", "65535"])),
        "seeds": ",".join(draw(st.lists(ADDRESSES, max_size=20))),
        "data_dir": "/data",
        "bootstrap": draw(st.sampled_from(["true", "false", "True", ""])),
        "heartbeat_ms": draw(number_forms(1, day_ms)),
        "limits.link_mbps": draw(number_forms(0.5, 1e9)),
        "limits.memory_mb": draw(number_forms(1, 1e9)),
        "limits.max_fds": draw(number_forms(64, many)),
        "fault_tolerance.machines": draw(
            st.sampled_from(["0", "1", "2", "2.0", "1e0", "500", ""])
        ),
        "bounds.revoke_ms": draw(number_forms(0, day_ms)),
        "bounds.config_apply_ms": draw(number_forms(0, day_ms)),
        "bounds.drain_ms": draw(number_forms(0, day_ms)),
        "bounds.grace_s": draw(number_forms(0, 86_400)),
        "bounds.retry_budget_ratio": draw(number_forms(0, 100)),
        "bounds.retry_budget_slack": draw(number_forms(0, many)),
    }


def render(role, values):
    """Return a deploy template with its placeholders filled in."""
    template = (ROOT / "deploy" / f"{role}.env").read_text("utf-8")
    return PLACEHOLDER.sub(lambda match: values[match.group(1)], template)


def load_rendered(cls, role, values, folder):
    file = folder / f"{role}.env"
    file.write_text(render(role, values), "utf-8")
    before = os.environ.get("WAGTAILRUN_SETTINGS")
    os.environ["WAGTAILRUN_SETTINGS"] = str(file)
    try:
        return _load(cls)
    finally:
        del os.environ["WAGTAILRUN_SETTINGS"]
        if before is not None:
            os.environ["WAGTAILRUN_SETTINGS"] = before


@settings(max_examples=300, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(values=platform_settings())
def test_every_form_of_a_platform_value_is_accepted(tmp_path, values):
    """Guards against a bound of 38.46 that ended every entry at its start."""
    entry = load_rendered(RelayEntrySettings, "entry", values, tmp_path)
    control = load_rendered(RelayControlSettings, "control", values, tmp_path)
    assert entry.effective_drain_notice_ms <= entry.grace_s * 1_000
    slack = values["bounds.retry_budget_slack"]
    assert entry.retry_slack == (float(slack) if slack else 20)
    grace_s = values["bounds.grace_s"]
    assert entry.grace_s == (float(grace_s) if grace_s else 8)
    assert control.founding == (values["bootstrap"].lower() == "true")
    assert len(control.seeds) == values["seeds"].count(":")


@pytest.mark.parametrize(
    ("name", "text", "remedy"),
    [
        ("bounds.retry_budget_slack", "nan", "give a decimal number"),
        ("bounds.retry_budget_slack", "-1", "give 0 to"),
        ("bounds.drain_ms", "-1", "give 0 to"),
        ("bounds.grace_s", "inf", "give a decimal number"),
        ("bounds.grace_s", "1e999", "give a finite number"),
        ("bounds.revoke_ms", "-0.5", "give 0 to"),
        ("limits.link_mbps", "0", "give more than 0"),
        ("limits.memory_mb", "0", "give 1 to"),
        ("limits.max_fds", "63", "give a number from 64"),
        ("fault_tolerance.machines", "1.5", "give a whole number"),
        ("node_name", "a b", "printable characters"),
        ("bootstrap", "perhaps", "give true or false"),
    ],
)
def test_values_that_make_no_sense_are_refused(tmp_path, name, text, remedy):
    """Guards against a process that starts with a limit that it cannot keep."""
    values = {**PLAIN, name: text}
    with pytest.raises(SettingsError) as entry:
        load_rendered(RelayEntrySettings, "entry", values, tmp_path)
        load_rendered(RelayControlSettings, "control", values, tmp_path)
    assert remedy in str(entry.value)
    assert text in str(entry.value)


@pytest.mark.parametrize("first_line", ["# A comment.", "WAGTAILRUN_KEY_GRACE_MS=1"])
def test_settings_file_with_a_byte_order_mark_is_refused(tmp_path, first_line):
    """Guards against a first setting that is ignored because of the mark before it."""
    file = tmp_path / "settings.env"
    file.write_text(f"{first_line}\n", "utf-8-sig")
    with pytest.raises(SettingsError, match=r":1: begins with a byte order mark"):
        read_settings_file(str(file))


PLAIN = {
    "node_name": "front-1",
    "zone": "riverside",
    "ip": "10.1.0.41",
    "listen.front": "10.1.0.41:8625",
    "listen.ready": "10.1.0.41:8621",
    "listen.control": "10.1.0.41:8625",
    "internal_ports.0": "7740",
    "seeds": "10.1.0.1:8628",
    "data_dir": "/data",
    "bootstrap": "true",
    "heartbeat_ms": "1200",
    "limits.link_mbps": "1000.0",
    "limits.memory_mb": "300",
    "limits.max_fds": "4100",
    "fault_tolerance.machines": "1",
    "bounds.revoke_ms": "5000",
    "bounds.config_apply_ms": "2500",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_budget_slack": "58",
}


def test_entry_without_seeds_waits_for_some():
    """Guards against an entry that ends because its settings name no member yet."""
    clock = SystemClock()
    own = EntryRow("front-1", Address("10.1.0.41", 7740), "riverside", 1)
    seeds = []
    view = FleetView(clock, None, own, lambda: seeds, None, 5_000, 2_500)
    assert view.control_members.pick() is None
    seeds.append(Address("10.1.0.1", 7740))
    assert view.control_members.pick() == seeds[0]


ROUTE = {
    "name": "r",
    "host": "works.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "service": "llm",
}
POOL_FIELDS = ("slots", "queue", "batch", "call_ms", "item_ms", "headroom_mb")


@given(
    timeout_ms=st.one_of(st.floats(0.001, 1e300), st.integers(1, 10**30)),
    numbers=st.lists(
        st.one_of(st.none(), st.floats(0.001, 1e15), st.integers(0, 10**15)),
        min_size=len(POOL_FIELDS),
        max_size=len(POOL_FIELDS),
    ),
    weight=st.floats(0.001, 1e6),
)
def test_numbers_of_a_document_keep_their_share(timeout_ms, numbers, weight):
    """Guards against a document that is refused for the form of a number."""
    route = {**ROUTE, "timeout_ms": timeout_ms, "priority": None, "gap_target_ms": 0.5}
    route["split"] = [{"service": "llm", "weight": weight}]
    pool = dict(zip(POOL_FIELDS, numbers, strict=True))
    table = read_document(
        json.dumps(
            {
                "version": 1.0,
                "routes": [route],
                "services": [
                    {"name": "llm", "max_connections": 0.5, "pieces": pool},
                ],
            }
        )
    )
    route = table.find("works.example", "/a/b")
    assert route.timeout_ms >= 1
    assert (route.gap_ms, route.urgency) == (1, 5)
    assert route.services[0].weight == weight
    service = table.services_by_name["llm"]
    assert service.max_connections == 1
    assert min(service.pool.slots, service.pool.batch) >= 1


@pytest.mark.parametrize(
    ("text", "remaining_ms"),
    [("1000", 1_000), ("1000.7", 1_000), ("1e3", 1_000), ("1e999", 3_600_000)],
)
def test_remaining_time_of_a_request_in_each_form(text, remaining_ms):
    """Guards against a request that is refused for the form of its deadline."""
    headers = {"attempt-id": "a", "host": "h", "deadline-remaining": text}
    request = PlatformWire().parse_request(Request("POST", "/", headers=headers))
    assert request.remaining_ms == remaining_ms


@pytest.mark.parametrize("field", ["version", "priority", "max_attempts", "timeout_ms"])
def test_huge_number_of_a_document_ends_in_an_answer(field):
    """Guards against an unexpected error on a number with hundreds of digits."""
    route = {**ROUTE, "timeout_ms": 1_000, field: 10**400}
    value = {"version": 1, "routes": [route], "services": [{"name": "llm"}]}
    if field == "version":
        with pytest.raises(FleetTextError):
            read_document(json.dumps({**value, "version": 10**400}))
    else:
        assert read_document(json.dumps(value)).version == 1


@pytest.mark.parametrize("text", ["NaN", "Infinity", "-1", "1e999", "true", '"5"'])
def test_number_that_is_none_is_refused(text):
    """Guards against a NaN of a document that reaches the decisions."""
    route = json.dumps({**ROUTE, "timeout_ms": "?"}).replace('"?"', text)
    services = '[{"name": "llm"}]'
    with pytest.raises(FleetTextError):
        read_document(f'{{"version": 1, "routes": [{route}], "services": {services}}}')


def start(role, file):
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": f"{ROOT}:{ROOT / 'platform'}",
        "WAGTAILRUN_SETTINGS": str(file),
    }
    return subprocess.Popen(
        [sys.executable, "-P", "-m", "wagtail_platform", role],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


@pytest.mark.network
@pytest.mark.parametrize(
    "changes",
    [
        {"bounds.retry_budget_slack": "38.46153846153846", "bounds.grace_s": "2"},
        {"bounds.revoke_ms": "5e3", "heartbeat_ms": "1200.5", "seeds": ""},
        {"bounds.revoke_ms": "", "bounds.grace_s": "0.5", "limits.link_mbps": "5"},
        {"limits.max_fds": ""},
    ],
)
def test_daemons_start_and_stop(tmp_path, changes):
    """Guards against settings that load but end a daemon when they are used."""
    addresses = free_addresses(4)
    host = addresses[0].host
    main, ready, peer, metrics = (address.port for address in addresses)
    values = {
        **PLAIN,
        "ip": host,
        "listen.front": f"{host}:{main}",
        "listen.ready": f"{host}:{ready}",
        "listen.control": f"{host}:{metrics}",
        "data_dir": str(tmp_path / "data"),
        "seeds": "127.0.0.1:1",
        **changes,
    }
    for role, port in (("entry", peer), ("control", main)):
        file = tmp_path / f"{role}.env"
        # Both daemons run on one machine, so the second finds the metrics port taken.
        text = render(role, {**values, "internal_ports.0": str(port)})
        file.write_text(text)
        process = start(role, file)
        try:
            line = process.stdout.readline()
            assert "A process started" in line or '"event":100' in line, line
            time.sleep(0.5)
            assert process.poll() is None, process.stdout.read()
        finally:
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=START_S)
        assert process.returncode == 0, output


@pytest.mark.parametrize("role", ["entry", "control"])
def test_signal_to_reload_does_not_end_a_process_that_starts(role):
    """Guards against a process that ends by a SIGHUP before it handles signals."""
    code = (
        "import signal, sys, wagtail_platform.__main__ as main\n"
        f"main.{role} = lambda: signal.raise_signal(signal.SIGHUP)\n"
        f"sys.argv = ['wagtail_platform', '{role}']\n"
        "sys.exit(main.main())\n"
    )
    environment = {"PATH": os.environ["PATH"]}
    environment["PYTHONPATH"] = f"{ROOT}:{ROOT / 'platform'}"
    command = [sys.executable, "-P", "-c", code]
    assert subprocess.run(command, env=environment, timeout=START_S).returncode == 0
