"""Digests by which all entries recognise a request that comes again."""

import hashlib
from collections import OrderedDict

from wagtailrun.adapters.http_server import Request
from wagtailrun.clock import Clock

__all__ = ["AnsweredRequests", "digest_request"]

DIGEST_BYTES = 16
MAX_ANSWERED = 4_096
# A target that answered a request within this time shows that the request crashes none.
RECENT_ANSWER_MS = 60_000


def digest_request(request: Request, host: str, workspace: str) -> str:
    """Return the digest of a request: its caller, host, path and body.

    The hash is cryptographic, so that no caller can make a request with the digest of
    another caller's.

    Args:
        request: The request as received; its identifier does not count.
        host: Host that it was sent to.
        workspace: Workspace of the caller; empty if the route needs no key.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    caller, server = workspace.encode(), host.encode()
    for field in (caller, server, request.method.encode(), request.target):
        hasher.update(len(field).to_bytes(4, "big"))
        hasher.update(field)
    hasher.update(request.body)
    return hasher.hexdigest()


class AnsweredRequests:
    """Requests that targets answered a moment ago.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.answered_ms_by_digest: OrderedDict[str, int] = OrderedDict()

    def record(self, digest: str) -> None:
        """Record that a target answered a request."""
        self.answered_ms_by_digest[digest] = self.clock.now_ms()
        self.answered_ms_by_digest.move_to_end(digest)
        while len(self.answered_ms_by_digest) > MAX_ANSWERED:
            self.answered_ms_by_digest.popitem(last=False)

    def includes(self, digest: str) -> bool:
        """Return whether a target answered a request within ``RECENT_ANSWER_MS``."""
        answered_ms = self.answered_ms_by_digest.get(digest)
        if answered_ms is None:
            return False
        return self.clock.now_ms() - answered_ms < RECENT_ANSWER_MS
