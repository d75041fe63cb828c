"""Command line: runs the daemons, checks fleet texts, and serves operators."""

import hashlib
import importlib
import json
import logging as std_logging
import sys
from pathlib import Path
from urllib.parse import urlencode

import attrs
import curio
import defopt
from absl import flags, logging

from wagtailrun.cli.client import Answer, OperatorClient, make_client
from wagtailrun.cli.daemon_command import make_daemon_command
from wagtailrun.cli.exit_codes import (
    EXIT_INTERRUPTED,
    EXIT_REFUSED,
    EXIT_SUCCESS,
    describe_error,
)
from wagtailrun.cli.experiment import EXPERIMENT_COMMANDS
from wagtailrun.cli.log_commands import explain, parts, recovery, stages
from wagtailrun.cli.output import print_json, print_rows, printable, printable_lines
from wagtailrun.cli.report import join_variants, report
from wagtailrun.exceptions import FleetTextError, WagtailrunError
from wagtailrun.fleet.model import parse_fleet_text
from wagtailrun.registry.audit import verify_chain
from wagtailrun.registry.messages import AuditRecord
from wagtailrun.registry.plan import plan_changes
from wagtailrun.settings import (
    ControlSettings,
    EntrySettings,
)

__all__ = ["main"]

MAX_TEXT_BYTES = 4 * 1024 * 1024
# A founding takes up to 15 s on slow disks, the record of it up to 5 s.
FOUNDING_TIMEOUT_MS = 25_000


entry = make_daemon_command(
    "entry", EntrySettings, "wagtailrun.serving.daemon", "Run an entry process."
)
control = make_daemon_command(
    "control", ControlSettings, "wagtailrun.control.daemon", "Run a control process."
)


def check(file: str, *, json: bool = False) -> int:
    """Check a fleet text without contacting the fleet.

    Example: wagtailrun check fleet.toml

    Args:
        file: Path of the fleet text.
        json: Print JSON.
    """
    fleet = parse_fleet_text(_read_file(file))
    counts = {
        "fleet": fleet.name,
        "services": len(fleet.services_by_name),
        "pipelines": len(fleet.pipelines_by_name),
        "workspaces": len(fleet.workspaces_by_name),
    }
    print_rows([counts], as_json=json)
    return EXIT_SUCCESS


def plan(
    file: str,
    *,
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
) -> int:
    """Show what a fleet text would change, and whom that affects; change nothing.

    Example: wagtailrun plan fleet.toml --control=10.0.0.1:7000

    Args:
        file: Path of the fleet text.
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
    """
    new = parse_fleet_text(_read_file(file))
    client = make_client(control, operator_credential_file)
    answer = curio.run(client.read, "/v1/text")
    if not answer.accepted:
        return _report_refusal(answer)
    text, revision = answer.field("text", str), answer.field("revision", int)
    changes = plan_changes(parse_fleet_text(text) if text else None, new)
    rows = [attrs.asdict(change, recurse=False) for change in changes]
    if json:
        print_json({"revision": revision, "changes": rows})
    else:
        print(f"changes to revision {revision}:")
        print_rows(rows, empty="none")
    return EXIT_SUCCESS


def apply(
    file: str,
    *,
    base: int | None = None,
    control: str | None = None,
    operator: str | None = None,
    operator_credential_file: str | None = None,
    change_id: str = "",
    json: bool = False,
) -> int:
    """Apply a fleet text; after a lost answer, repeat the command to get the verdict.

    Example: wagtailrun apply fleet.toml --base=12

    Args:
        file: Path of the fleet text.
        base: Revision that the change is based on; by default the current one.
        control: IP:PORT of the control members' operator interfaces.
        operator: Name of the operator in the audit trail.
        operator_credential_file: File of the operator credential.
        change_id: Identifier of the change; by default derived from text and base.
        json: Print JSON.
    """
    text = _read_file(file)
    parse_fleet_text(text)
    client = make_client(control, operator_credential_file, operator)
    answer = curio.run(_send_change, client, text, base, change_id)
    if not answer.accepted:
        return _report_refusal(answer)
    if json:
        print_json(answer.value)
    else:
        print(f"applied as revision {answer.field('revision', int)}")
    return EXIT_SUCCESS


async def _send_change(
    client: OperatorClient, text: str, base: int | None, change_id: str
) -> Answer:
    """Send a change of the fleet configuration and return the verdict."""
    digest = hashlib.sha256(text.encode()).hexdigest()[:32]
    if base is None:
        answer = await client.read("/v1/text")
        if not answer.accepted:
            return answer
        base = answer.field("revision", int)
        if answer.field("text", str) == text:
            value = {"accepted": True, "revision": base, "detail": "already applied"}
            return attrs.evolve(answer, value=value)
        # An earlier attempt may have been accepted although its answer was lost, and
        # its text may have been replaced since. Applying it again would undo the later
        # changes.
        earlier = await client.read(f"/v1/changes?prefix={digest}-")
        if not earlier.accepted:
            return earlier
        accepted = [row for row in earlier.rows() if row.get("accepted")]
        if accepted and not change_id:
            revision = max(row.get("revision", 0) for row in accepted)
            detail = (
                f"this text was accepted as revision {revision} and replaced since; "
                f"give --base={base} to apply it again"
            )
            return attrs.evolve(earlier, status=409, value={"detail": detail})
    body = {
        "text": text,
        "base_revision": base,
        "change_id": change_id or f"{digest}-{base}",
        "operator": client.settings.operator,
    }
    return await client.change("/v1/text", body)


def status(
    *,
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
) -> int:
    """Show the state of every process; exit with 1 if a control member is unreachable.

    Example: wagtailrun status --control=10.0.0.1:7000,10.0.0.2:7000

    Args:
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
    """
    client = make_client(control, operator_credential_file)
    answers = curio.run(client.read_each, "/v1/status")
    rows, complete = [], True
    for address, answer in zip(client.settings.control, answers, strict=True):
        member = {"member": str(address)}
        if isinstance(answer, Answer) and answer.accepted:
            rows += [{**member, "answers": True, **r} for r in answer.rows()]
        else:
            complete = False
            detail = (
                answer.value.get("detail") if isinstance(answer, Answer) else answer
            )
            rows.append({**member, "answers": False, "detail": str(detail)})
    print_rows(rows, as_json=json)
    return EXIT_SUCCESS if complete else EXIT_REFUSED


def found(
    member: str,
    *,
    operator: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
) -> int:
    """Found a cluster at a control member of a system that never had one.

    Refused unless all seeds are reached and none has a log. Repeat it at the same
    member if it was interrupted.

    Example: wagtailrun found 10.0.0.1:7000

    Args:
        member: IP:PORT of the operator interface of the member, one of the seeds.
        operator: Name of the operator in the audit trail.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
    """
    client = make_client(member, operator_credential_file, operator)
    body = {"operator": client.settings.operator}
    answer = curio.run(client.change, "/v1/founding", body, FOUNDING_TIMEOUT_MS)
    if not answer.accepted:
        return _report_refusal(answer)
    if json:
        print_json(answer.value)
    else:
        cluster, detail = answer.field("cluster", str), answer.field("detail", str)
        print(f"founded cluster {printable(cluster)}; {printable(detail)}")
    if not answer.field("audited", bool):
        print(
            "wagtailrun: the audit trail has no record of it yet; repeat the command",
            file=sys.stderr,
        )
        return EXIT_REFUSED
    return EXIT_SUCCESS


def targets(
    *,
    service: str = "",
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
) -> int:
    """List the targets known to the entries.

    Example: wagtailrun targets --service=engines

    Args:
        service: Show only targets of this service.
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
    """
    client = make_client(control, operator_credential_file)
    return _print_resource(client, "/v1/targets", {"service": service}, json)


def orders(
    *,
    workspace: str = "",
    verdict: str = "",
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
) -> int:
    """List orders with side effects.

    Example: wagtailrun orders --verdict=may-have-run

    Args:
        workspace: Show only orders of this workspace.
        verdict: Show only orders with this verdict, or "open".
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
    """
    client = make_client(control, operator_credential_file)
    query = {"workspace": workspace, "verdict": verdict}
    return _print_resource(client, "/v1/orders", query, json)


def refusals(
    *,
    period: str = "",
    workspace: str = "",
    pipeline: str = "",
    service: str = "",
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
    csv: bool = False,
) -> int:
    """List the minutes in which requests were refused, with the reasons.

    Example: wagtailrun refusals --period=2026-01-01 --csv

    Args:
        period: UTC day (YYYY-MM-DD); by default all open periods.
        workspace: Show only this workspace.
        pipeline: Show only this pipeline.
        service: Show only this service.
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
        csv: Print comma-separated values.
    """
    client = make_client(control, operator_credential_file)
    query = {
        "period": period,
        "workspace": workspace,
        "pipeline": pipeline,
        "service": service,
    }
    return _print_resource(client, "/v1/refusals", query, json, csv)


def costs(
    *,
    period: str = "",
    by: str = "stage",
    workspace: str = "",
    pipeline: str = "",
    stage: str = "",
    work: str = "",
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
    csv: bool = False,
) -> int:
    """Sum the costs, by stage or other columns.

    Example: wagtailrun costs --period=2026-01-01 --by=workspace,stage --csv

    Args:
        period: UTC day (YYYY-MM-DD); by default all open periods.
        by: Columns, comma-separated: workspace, service, pipeline, stage, work, hour,
            entry, booking.
        workspace: Show only this workspace.
        pipeline: Show only this pipeline.
        stage: Show only this stage.
        work: Show only this kind of work: first, retry, hedge or wasted.
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
        csv: Print comma-separated values.
    """
    client = make_client(control, operator_credential_file)
    query = {
        "period": period,
        "by": by,
        "workspace": workspace,
        "pipeline": pipeline,
        "stage": stage,
        "work": work,
    }
    return _print_resource(client, "/v1/costs", query, json, csv)


def audit(
    *,
    control: str | None = None,
    operator_credential_file: str | None = None,
    json: bool = False,
    verify: str = "",
) -> int:
    """List the audit trail, oldest record first, or verify an export of it.

    Example: wagtailrun audit --json

    Args:
        control: IP:PORT of the control members' operator interfaces.
        operator_credential_file: File of the operator credential.
        json: Print JSON.
        verify: File with an earlier export as JSON, to be checked for gaps and
            modified records without contacting the fleet.
    """
    if verify:
        return _verify_audit(verify)
    client = make_client(control, operator_credential_file)
    return _print_resource(client, "/v1/audit", {}, json)


def _verify_audit(file: str) -> int:
    """Return 0 if the exported records in ``file`` form an unbroken chain."""
    try:
        rows = json.loads(Path(file).read_text(encoding="utf-8"))
        records = [AuditRecord(**row) for row in rows]
        fault = verify_chain(records)
    except (ValueError, TypeError, OSError) as error:
        raise WagtailrunError(
            f"{file}: not a JSON export of the audit trail"
        ) from error
    print(f"{printable(file)}: {fault or f'{len(records)} records, chain is unbroken'}")
    return EXIT_REFUSED if fault else EXIT_SUCCESS


def replay(file: str, *, json: bool = False) -> int:
    """Replay a trace and check its expected outcomes.

    Example: wagtailrun replay trace.jsonl

    Args:
        file: Path of the trace.
        json: Print JSON.
    """
    try:
        played = importlib.import_module("wagtailrun.replay.player").replay(file)
    except (ValueError, KeyError, TypeError, OSError) as error:
        detail = f"{file}: not a valid trace: {error!r}"
        raise WagtailrunError(detail) from error
    holds = played.holds
    if json:
        print_json({**attrs.asdict(played), "outcomes_hold": holds})
    else:
        for violation in played.violations:
            print(printable(violation))
        print(f"{printable(file)}: outcomes {'hold' if holds else 'do not hold'}")
    return EXIT_SUCCESS if holds else EXIT_REFUSED


COMMANDS = [
    entry,
    control,
    check,
    plan,
    apply,
    status,
    targets,
    orders,
    refusals,
    costs,
    audit,
    found,
    replay,
    report,
    explain,
    stages,
    parts,
    recovery,
]


# Commands by name; a list holds the commands below a name.
COMMANDS_BY_NAME = {command.__name__: command for command in COMMANDS} | {
    "experiment": EXPERIMENT_COMMANDS
}


def _read_file(file: str) -> str:
    """Return at most ``MAX_TEXT_BYTES`` + 1 bytes of a file, as text.

    Raises:
        FleetTextError: If the file cannot be read or is not UTF-8.
    """
    try:
        with Path(file).open("rb") as stream:
            return stream.read(MAX_TEXT_BYTES + 1).decode("utf-8")
    except (OSError, ValueError) as error:
        raise FleetTextError([f"cannot read {file}: {error}"]) from error


def _print_resource(
    client: OperatorClient,
    path: str,
    query: dict[str, str],
    as_json: bool,
    as_csv: bool = False,
) -> int:
    """Read rows from the operator API and print them; return the exit code."""
    given = {name: value for name, value in query.items() if value}
    answer = curio.run(client.read, f"{path}?{urlencode(given)}" if given else path)
    if not answer.accepted:
        return _report_refusal(answer)
    rows = answer.rows()
    print_rows(rows, as_json=as_json, as_csv=as_csv)
    more = answer.field("total_rows", int) - len(rows)
    if more > 0:
        print(f"wagtailrun: {more} more rows are not shown", file=sys.stderr)
        return EXIT_REFUSED
    return EXIT_SUCCESS


def _report_refusal(answer: Answer) -> int:
    """Print why the control member refused the request; return the exit code."""
    detail = answer.value.get("detail") or answer.value.get("title") or answer.status
    revision = answer.value.get("revision")
    suffix = f" (current revision: {revision})" if revision is not None else ""
    print(f"wagtailrun: refused: {printable_lines(detail)}{suffix}", file=sys.stderr)
    if difference := answer.value.get("difference"):
        print(
            "difference between the current fleet text and the refused one:",
            file=sys.stderr,
        )
        print(printable_lines(difference), file=sys.stderr)
    return EXIT_REFUSED


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    # curio warns of each operation that ends shortly after its timeout. That case is
    # handled, and its lines would lack an event number.
    std_logging.getLogger("curio").setLevel(std_logging.ERROR)
    # absl is given no flags, but it warns until flags are parsed.
    flags.FLAGS(["wagtailrun"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    given = sys.argv[1:] if arguments is None else arguments
    if given[:1] == [report.__name__]:
        given = join_variants(given)
    try:
        code = defopt.run(COMMANDS_BY_NAME, argv=given)
    except KeyboardInterrupt:
        code = EXIT_INTERRUPTED
    except (WagtailrunError, OSError) as error:
        text, code = describe_error(error)
        print(text, file=sys.stderr)
    sys.exit(code)
