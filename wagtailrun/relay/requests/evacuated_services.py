"""Refusal of requests whose service has targets in evacuated data centres only."""

from wagtailrun.discovery import FleetView
from wagtailrun.exceptions import Refusal, RefusalReason, Verdict
from wagtailrun.relay.core.job import RelayJob

__all__ = ["EVACUATED_RETRY_MS", "evacuated_refusal", "stage_refusal"]

# An operator has to withdraw the order.
EVACUATED_RETRY_MS = 5_000


def evacuated_refusal(
    view: FleetView, service: str, verdict: Verdict
) -> Refusal | None:
    """Return the refusal of a request if evacuations are why it has no target.

    Args:
        view: Fleet as this entry knows it.
        service: Service without a target that the request may use.
        verdict: Whether the request may have run.
    """
    if not view.evacuations.data_centres:
        return None
    rows = [row for row in view.present_targets() if row.service == service]
    names = {row.data_centre for row in rows if view.evacuations.includes(row)}
    if not names:
        return None
    detail = f"no target of {service} outside {sorted(names)}, which are evacuated"
    return Refusal(RefusalReason.NO_TARGET, verdict, detail, EVACUATED_RETRY_MS)


def stage_refusal(view: FleetView, job: RelayJob) -> Refusal | None:
    """Return the refusal of a request whose stages no target may run, else None."""
    if not view.evacuations.data_centres:
        return None
    for step, pieces in zip(job.route.steps, job.request.pieces, strict=False):
        if pieces and not view.targets(step.service):
            refusal = evacuated_refusal(view, step.service, Verdict.NOT_RUN)
            if refusal is not None:
                return refusal
    return None
