"""Tests of the page of a report: its sections, its bytes and its file."""

import errno
import os
import re
import subprocess
import sys
from html.parser import HTMLParser

import pytest

from tests.made_results import make_results, write_lines
from tests.test_reports import change_json, run_command
from wagtailrun.exceptions import ResultsError
from wagtailrun.experiments.reports import page_file
from wagtailrun.experiments.reports.command import read_report
from wagtailrun.experiments.reports.page import make_page
from wagtailrun.experiments.reports.strips import make_strips

VOID = {"meta", "br", "img", "link", "input", "hr"}


class Reader(HTMLParser):
    """Collects headings, tags and labels of plots of a page."""

    def __init__(self):
        super().__init__(convert_charrefs=True)
        self.open, self.headings, self.tags, self.labels = [], [], set(), []

    def handle_starttag(self, tag, attributes):
        self.tags.add(tag)
        if tag not in VOID:
            self.open.append(tag)
        self.labels += [value for name, value in attributes if name == "aria-label"]

    def handle_startendtag(self, tag, attributes):
        self.handle_starttag(tag, attributes)
        if tag not in VOID:
            self.open.pop()

    def handle_endtag(self, tag):
        assert self.open.pop() == tag

    def handle_data(self, text):
        if self.open[-1:] and self.open[-1] in ("h1", "h2"):
            self.headings.append(text)


def read_page(text):
    reader = Reader()
    reader.feed(text)
    reader.close()
    assert reader.open == []
    return reader


def page_of(path, *variants):
    return make_page(read_report([str(path)], variants))


@pytest.fixture
def results(tmp_path):
    return make_results(tmp_path / "made")


def test_page_has_every_section_and_no_reference_to_another_host(results):
    """Guards against a page that lacks a part, or loads something from elsewhere."""
    text = page_of(results)
    page = read_page(text)
    plots = [
        "Latency by percentile",
        "Outcomes over time by data centre: variant base",
        "Outcomes over time by workspace: variant base",
        "Refusals by reason: variant base",
        "Time by stage: variant base",
        "Places in use: variant base",
    ]
    tables = ["Experiment made", "Missing", "Summary", "Faults", "Promises"]
    assert page.headings == tables + plots
    assert page.labels == plots
    assert page.tags.isdisjoint({"script", "link", "img", "iframe", "image", "object"})
    assert "://" not in text and "@import" not in text
    references = re.findall(r'(?:href|src)="([^"]*)"', text)
    references += re.findall(r"url\(([^)]*)\)", text)
    known = {f"#{name}" for name in re.findall(r' id="([^"]*)"', text)}
    assert references and set(references) <= known
    assert text.count("seeds 1, 2, 3") >= len(plots)
    for unit in ("requests/s", "time since the start of the play (s)", "time (ms)"):
        # The labels of axes are drawn as outlines; their texts stand in comments.
        assert f"<!-- {unit} -->" in text, unit
    assert "seed 2: request 17" in text and "Nothing is missing" in text
    assert "cut (fault), riverside, north-mill, 4 s to 7 s" in text
    assert "slow-target (fault), generate-1, 15 s to the end" in text


def test_fills_are_plain(results):
    """Guards against areas that viewers without patterns draw black."""
    text = page_of(results)
    assert "<pattern" not in text and "fill: url(" not in text


def test_each_fault_has_a_strip(results):
    """Guards against faults that run into one block, and do not say what they are."""
    text = page_of(results)
    for label in ("cut: riverside, north-mill", "roll: front-1"):
        # In both plots of outcomes and that of places.
        assert text.count(f"<!-- {label} -->") == 3, label


def put_events(path, rows):
    """Let the plays have the faults of rows of start, end, kind and subject."""
    for seed in (1, 2, 3):
        names = ("at_ms", "until_ms", "kind", "subject")
        events = [
            {**dict(zip(names, row, strict=True)), "planned": False} for row in rows
        ]
        write_lines(path / "base" / str(seed) / "events.jsonl", events)


def strips_of(path):
    return make_strips(read_report([str(path)], []).sides[0].tally)


def test_faults_that_overlap_keep_their_own_strips(results):
    """Guards against a fault that hides the start and the end of another one."""
    rows = [
        (1_000, 9_000, "cut", ["riverside"]),
        (2_000, 3_000, "cut", ["north-mill"]),
        (2_500, 4_000, "cut", ["north-mill"]),
        (8_000, 8_000, "kill-target", ["encode-1"]),
        (8_000, None, "silence-target", ["encode-2"]),
        (30_000, 40_000, "cut", ["nowhere"]),
    ]
    put_events(results, rows)
    found = {strip.label: strip.spans_s for strip in strips_of(results)}
    assert found == {
        "cut: riverside": ((1, 9),),
        "cut: north-mill": ((2, 4),),
        "kill-target: encode-1": ((8, 8.1),),
        "silence-target: encode-2": ((8, 20),),
    }


@pytest.mark.parametrize(("count", "strips"), [(10, 10), (11, 2), (100, 2)])
def test_many_faults_have_a_strip_for_each_kind(results, count, strips):
    """Guards against plots that grow with the number of faults."""
    rows = [
        (i, i + 1, "cut-one-way"[: 3 + 8 * (i % 2)], [f"e{i}"]) for i in range(count)
    ]
    put_events(results, rows)
    assert len(strips_of(results)) == strips


def test_strip_of_the_whole_play_and_a_long_name_fit(results):
    """Guards against a label outside the plot, which makes the plot narrow."""
    put_events(results, [(0, None, "cut", ["riverside" * 20])])
    text = page_of(results)
    assert re.search(r"<!-- cut: (riverside)+[a-z]*\.\.\. -->", text)


def test_gaps_stand_on_the_page(results):
    """Guards against a page that shows an incomplete run as whole."""
    (results / "base/2/events.jsonl").unlink()
    text = page_of(results)
    assert "not of the whole experiment" in text and "Nothing is missing" not in text
    assert "base/2/events.jsonl: No such file or directory" in text
    assert "seeds 1, 3" in text and "seeds 1, 2, 3" not in text


def test_same_results_give_the_same_bytes(results, tmp_path):
    """Guards against dates, random identifiers and the order of sets in a page."""
    pages = []
    for hash_seed in ("1", "2"):
        moved = tmp_path / hash_seed / "elsewhere"
        moved.parent.mkdir()
        results.rename(moved)
        results = moved
        page = tmp_path / f"{hash_seed}.html"
        command = [sys.executable, "-m", "wagtailrun", "report", str(moved)]
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        subprocess.run([*command, "--html", page], env=environment, check=True)
        pages.append(page.read_bytes())
    assert pages[0] == pages[1]


def test_names_are_text_on_the_page(tmp_path):
    """Guards against names that act as markup, or as formulas in plots."""
    name = "<script>alert(1)</script> --> $x_{$"
    path = make_results(tmp_path / "made", variants=(name.replace("/", ""),), name=name)
    change_json(
        path / name.replace("/", "") / "1" / "requests.jsonl",
        lambda r: r.update({"data_centre": name, "outcome": "refused", "reason": name}),
    )
    page = read_page(page_of(path))
    assert "script" not in page.tags
    assert f"Experiment {name}" in "".join(page.headings)


def test_results_without_refusals_samples_or_events(tmp_path):
    """Guards against plots of nothing, or a page that fails without them."""
    path = make_results(tmp_path / "made", variants={"base": {"served": 1.0}})
    for seed in (1, 2, 3):
        for name in ("events", "samples"):
            (path / "base" / str(seed) / f"{name}.jsonl").write_text("")
        (path / "base" / str(seed) / "promises.json").write_text("[]")
    text = page_of(path)
    assert "No request was refused." in text and "No sample has a place." in text
    assert "No fault and no planned work." in text
    assert "samples end before the play does" in text


def test_many_names_are_limited_and_the_rest_is_named(tmp_path):
    """Guards against a page that grows with the number of workspaces."""
    path = make_results(tmp_path / "made", seeds=[1])
    lines = path / "base/1/requests.jsonl"
    rows = lines.read_text().splitlines(True)
    names = [r.replace("stockists", f"s{i}") for i, r in enumerate(rows)]
    lines.write_text("".join(names))
    text = page_of(path)
    left_out = re.search(r"Not shown, for lack of room: (\d+) of (\d+)\.", text)
    assert int(left_out[1]) > 50 and int(left_out[2]) == int(left_out[1]) + 6
    assert len(text) < 1_000_000


def test_page_is_written_once(results, tmp_path, capsys):
    """Guards against a page that replaces another file, or a device."""
    page = tmp_path / "page.html"
    page.write_text("mine")
    code, out, error = run_command(capsys, results, "--html", page)
    assert (code, out) == (1, "") and "exists; --force replaces it" in error
    assert page.read_text() == "mine"
    assert run_command(capsys, results, "--html", page, "--force")[0] == 0
    assert page.read_text().startswith("<!DOCTYPE html>")
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    for path, message in (
        (tmp_path / "none" / "page.html", "no such directory"),
        (tmp_path, "exists"),
        (pipe, "exists"),
    ):
        code, _, error = run_command(capsys, results, "--html", path, "--force")
        assert code == 1 and message in error
    new = tmp_path / "new.html"
    assert run_command(capsys, results, "--html", new)[0] == 0
    assert new.read_bytes() == page.read_bytes()
    pipe.unlink()
    assert sorted(p.name for p in tmp_path.iterdir()) == [
        "made",
        "new.html",
        "page.html",
    ]


def test_file_that_comes_meanwhile_is_kept(tmp_path, monkeypatch):
    """Guards against a second report that replaces the page of a first one."""
    page = tmp_path / "page.html"
    page.write_text("mine")
    monkeypatch.setattr(page_file, "check_new", lambda path, force: None)
    with pytest.raises(ResultsError, match="cannot write the page: File exists"):
        page_file.write_page(page, "other", force=False)
    assert page.read_text() == "mine"
    assert list(tmp_path.iterdir()) == [page]


@pytest.mark.parametrize("force", [False, True])
def test_full_disk_leaves_no_half_file(results, tmp_path, capsys, monkeypatch, force):
    """Guards against a page that ends where the disk was full, and looks whole."""
    page = tmp_path / "page.html"
    if force:
        page.write_text("mine")

    def fail(descriptor):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(os, "fsync", fail)
    flags = ["--force"] * force
    code, out, error = run_command(capsys, results, "--html", page, *flags)
    assert (code, out) == (1, "")
    assert error.endswith("cannot write the page: No space left on device\n")
    assert [p.read_text() for p in tmp_path.glob("*.html")] == ["mine"] * force
    assert list(tmp_path.glob(".*")) == []


@pytest.mark.parametrize("module", ["numpy", "matplotlib", "jinja2"])
def test_missing_package_is_named(results, tmp_path, capsys, monkeypatch, module):
    """Guards against a traceback where the extra is not installed."""
    monkeypatch.setitem(sys.modules, module, None)
    page = tmp_path / "page.html"
    code, out, error = run_command(capsys, results, "--html", page)
    assert (code, out) == (1, "") and not page.exists()
    assert module.lower() in error.lower() and "-m pip install '.[report]'" in error


def test_daemons_import_no_package_of_reports():
    """Guards against entries and control members that need the extra, or its memory."""
    modules = [
        "wagtailrun.cli.commands",
        "wagtailrun.control.daemon",
        "wagtailrun.relay.control",
        "wagtailrun.relay.entry",
        "wagtailrun.serving.daemon",
    ]
    packages = (
        "numpy",
        "matplotlib",
        "jinja2",
        "tqdm",
        "wagtailrun.experiments.reports",
    )
    program = f"""
import importlib, sys
for name in {modules}:
    importlib.import_module(name)
found = set({packages}) & set(sys.modules)
assert not found, found
import wagtailrun.experiments.reports.command
assert not set({packages[:-1]}) & set(sys.modules)
"""
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
