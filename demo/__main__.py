"""Starts a small fleet, sends it one pipeline request and one order, and stops it."""

import json
import sys
import time
from pathlib import Path

from demo.processes import Fleet, request
from wagtailrun.adapters.http_client import HttpReply

READY_TIMEOUT_S = 15.0
SERVICES = ["encoders", "documents", "engines", "dispatch-desk"]


def _post(fleet: Fleet, path: str, body: dict, *headers: tuple[str, str]) -> HttpReply:
    """Send a request to the first entry; retry while it has no targets."""
    address = next(iter(fleet.caller_address_by_name.values()))
    common = (("Wagtailrun-Workspace", "stockists"), *headers)
    data = json.dumps(body).encode()
    deadline = time.monotonic() + READY_TIMEOUT_S
    while True:
        reply = request(address, "POST", path, common, data)
        is_starting = reply.status == 503 and time.monotonic() < deadline
        if not is_starting:
            return reply
        time.sleep(0.2)  # The targets may not have announced themselves yet.


def main() -> int:
    """Run the demonstration; return its exit code."""
    text = (Path(__file__).parent / "fleet.toml").read_text(encoding="utf-8")
    print("starting 3 control members, 4 entries in 2 data centres, 8 stub targets")
    with Fleet(text, ["east", "west"], SERVICES) as fleet:
        fleet.apply_text()
        print("fleet configuration applied; every entry is ready")
        prompt = {"prompt": "Which pallets are in stock?"}
        pipeline_reply = _post(fleet, "/v1/pipelines/stockist-query", prompt)
        print(f"\npipeline stockist-query: status {pipeline_reply.status}")
        print(pipeline_reply.body.decode())
        order = {"pallets": 2, "shop": "Klang Road 4"}
        order_reply = _post(
            fleet,
            "/v1/services/dispatch-desk/book-dispatch",
            order,
            ("Idempotency-Key", "demo-order-1"),
        )
        print(f"order book-dispatch: status {order_reply.status}")
        verdict = order_reply.headers.get("wagtailrun-verdict")
        print(f"verdict {verdict}: {order_reply.body.decode()}")
    print("all processes stopped")
    is_complete = b"event: done" in pipeline_reply.body and order_reply.status == 200
    return 0 if is_complete else 1


if __name__ == "__main__":
    sys.exit(main())
