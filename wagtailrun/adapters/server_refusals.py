"""Refusals of requests that a connection of an HTTP server does not hand on."""

from wagtailrun.exceptions import Refusal, RefusalReason, Verdict

__all__ = ["INCOMPLETE_AT_STOP", "overload_refusal"]

OVERLOAD_RETRY_MS = 1_000

INCOMPLETE_AT_STOP = Refusal(
    RefusalReason.DRAINING,
    Verdict.NOT_RUN,
    "this process stops and the request has not arrived completely",
    OVERLOAD_RETRY_MS,
)


def overload_refusal(detail: str) -> Refusal:
    """Return the refusal of a request for which this process has no room."""
    return Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, detail, OVERLOAD_RETRY_MS)
