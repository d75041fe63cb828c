"""Stub target: serves stages, token streams and calls, and counts what it ran."""

import itertools
import json
import os
import time
from collections import Counter
from collections.abc import AsyncIterator

import curio
import defopt

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.adapters.http_server import HttpServer, Request, Response, json_response
from wagtailrun.exceptions import TargetFailed
from wagtailrun.ports.link import Address
from wagtailrun.targets.affinity import prefix_hashes

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_MS = 1_000
DEFAULT_TOKENS = 20
MAX_REPORTED_CHANGES = 16
# A prefix hash covers blocks of 1,024 characters, counted as 256 tokens.
TOKENS_PER_BLOCK = 256


class StubTarget:
    """Target that runs no model.

    Args:
        name: Name of the target.
        address: Address to serve at.
        service: Service that it belongs to.
        data_centre: Data centre that it is in.
        entries: Addresses of the entries' target APIs, for announcements.
        token_ms: Time between tokens, in milliseconds.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        service: str,
        data_centre: str,
        entries: list[Address],
        token_ms: int = 5,
    ):
        self.name = name
        self.address = address
        self.service = service
        self.data_centre = data_centre
        self.entries = entries
        self.token_ms = token_ms
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence = 0
        self.running = 0
        self.model = ""
        self.adapters: list[str] = []
        self.role = ""
        self.newest_fence = 0
        self.stale_orders = 0
        self.runs_by_key: Counter[str] = Counter()
        self.calls_by_stage: Counter[str] = Counter()
        self.tokens_out = 0
        # Streams that ended early, of whose last tokens some may not have been read.
        self.cut_streams = 0
        # As with real engines, the load is reported one interval late, and every fourth
        # report of cache events is lost.
        self.reported_load = {"running": 0, "queued": 0}
        self.cached: set[int] = set()
        self.cache_changes: list[str] = []
        self.reported_changes = 0
        self.cancelled: set[str] = set()

    async def run(self) -> None:
        """Serve and announce until cancelled."""
        server = HttpServer(self.address, self.handle)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(server.serve)
            await group.spawn(self.announce)

    async def announce(self) -> None:
        """Announce the target to the entries in turn, as through a load balancer."""
        client = HttpClient()
        entry_cycle = itertools.cycle(self.entries)
        while True:
            for entry in itertools.islice(entry_cycle, len(self.entries)):
                self.sequence += 1
                try:
                    await client.request(
                        entry,
                        "POST",
                        "/v1/targets/announce",
                        body=json.dumps(self.announcement()).encode(),
                        timeout_ms=ANNOUNCE_TIMEOUT_MS,
                    )
                    break
                except TargetFailed:
                    continue
            self.reported_load = {"running": self.running, "queued": 0}
            await curio.sleep(ANNOUNCE_INTERVAL_S)

    def announcement(self) -> dict:
        """Return the body of an announcement."""
        return {
            "name": self.name,
            "address": str(self.address),
            "service": self.service,
            "data_centre": self.data_centre,
            "capacity": 8,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "load": {
                **self.reported_load,
                "report_age_ms": int(ANNOUNCE_INTERVAL_S * 1e3),
            },
            "cache_events": self.cache_events(),
        }

    def cache_events(self) -> dict:
        """Return the changes of the prefix cache since the previous report.

        Every fourth announcement omits its changes, which leaves a gap in the numbers.
        """
        first = self.reported_changes + 1
        changes = self.cache_changes[self.reported_changes :][:MAX_REPORTED_CHANGES]
        self.reported_changes += len(changes)
        if not changes or self.sequence % 4 == 0:
            return {}
        return {"first": first, "last": self.reported_changes, "prefixes": changes}

    def cache_prompt(self, prompt: str) -> int:
        """Cache a prompt's prefixes; return how many tokens were cached before."""
        hashes = prefix_hashes(prompt)
        known = sum(value in self.cached for value in hashes)
        self.cache_changes += [f"{v:x}" for v in hashes if v not in self.cached]
        self.cached.update(hashes)
        return known * TOKENS_PER_BLOCK

    async def handle(self, request: Request) -> Response:
        """Serve one request of an entry."""
        attempt = request.headers.get("wagtailrun-attempt", "")
        echo = (("Wagtailrun-Attempt", attempt),)
        kind = request.path.rsplit("/", 1)[-1]
        if request.path == "/v1/state":
            return json_response(200, self.state())
        if request.path == "/v1/orders":
            return self.execute_order(request)
        if request.method == "DELETE":
            self.cancelled.add(kind)
            return json_response(200, {}, echo)
        body = json.loads(request.body or b"{}")
        self.calls_by_stage[kind] += 1
        if request.path == "/v1/stages/generate":
            offset = int(request.headers.get("wagtailrun-resume-offset", "0"))
            tokens = int(body["input"].get("tokens", DEFAULT_TOKENS))
            headers = (("Content-Type", "text/event-stream"), *echo)
            stream = self._tokens(attempt, body, offset, tokens)
            return Response(200, stream, headers)
        if request.path.startswith("/v1/calls/"):
            self.runs_by_key[f"{kind} {json.dumps(body, sort_keys=True)}"] += 1
            return json_response(200, {"done": kind, "by": self.name}, echo)
        return json_response(200, {"stage": kind, "by": self.name}, echo)

    def state(self) -> dict:
        """Return the state that an engine reports, and the counters of this target."""
        return {
            "model": self.model,
            "adapters": self.adapters,
            "role": self.role,
            "loading": [],
            "fence": self.newest_fence,
            "stale_orders": self.stale_orders,
            "runs": self.runs_by_key,
            "calls": self.calls_by_stage,
            "tokens_out": self.tokens_out,
            "cut_streams": self.cut_streams,
        }

    def execute_order(self, request: Request) -> Response:
        """Execute an engine order, unless its fencing number is stale."""
        fence = int(request.headers.get("wagtailrun-fence", "0"))
        if fence < self.newest_fence:
            self.stale_orders += 1
            return json_response(409, {"newest_fence": self.newest_fence})
        self.newest_fence = fence
        order = json.loads(request.body)
        if order["kind"] == "load-adapter":
            self.adapters.append(order["subject"])
        elif order["kind"] == "unload-adapter":
            self.adapters.remove(order["subject"])
        elif order["kind"] == "set-role":
            self.role = order["subject"]
        else:
            self.model = order["subject"]
        return json_response(200, {"order_id": order["order_id"]})

    async def _tokens(
        self, attempt: str, body: dict, offset: int, tokens: int
    ) -> AsyncIterator[bytes]:
        self.running += 1
        subject = body["input"].get("prompt", "answer")
        cached = self.cache_prompt(subject)
        is_complete = False
        try:
            for position in range(offset, tokens):
                if attempt in self.cancelled:
                    return
                await curio.sleep(self.token_ms / 1_000)
                self.tokens_out += 1
                token = {"offset": position, "text": f"{subject}-{position} "}
                yield f"event: token\ndata: {json.dumps(token)}\n\n".encode()
            done = {"tokens": tokens, "tokens_in": len(subject), "engine_ms": tokens}
            done["tokens_cached"] = cached
            yield f"event: done\ndata: {json.dumps(done)}\n\n".encode()
            is_complete = True
        finally:
            self.running -= 1
            self.cut_streams += not is_complete


def main(
    *,
    name: str,
    address: str,
    service: str,
    data_centre: str,
    entries: str,
    token_ms: int = 5,
) -> None:
    """Run a stub target.

    Args:
        name: Name of the target.
        address: IP:PORT to serve at.
        service: Service that it belongs to.
        data_centre: Data centre that it is in.
        entries: IP:PORT of the entries' target APIs, comma-separated.
        token_ms: Time between tokens, in milliseconds.
    """
    entry_addresses = [Address.parse(part) for part in entries.split(",")]
    target = StubTarget(
        name, Address.parse(address), service, data_centre, entry_addresses, token_ms
    )
    curio.run(target.run)


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    defopt.run(main)
