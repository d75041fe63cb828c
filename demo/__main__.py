"""Starts a small fleet, serves one pipeline request and one order, stops it."""

import json
import sys
import time
from pathlib import Path

from demo.processes import Fleet, request
from wagtailrun.adapters.http_client import HttpReply

READY_LIMIT_S = 15.0
SERVICES = ["encoders", "documents", "engines", "dispatch-desk"]


def _post(fleet: Fleet, path: str, body: dict, *headers: tuple[str, str]) -> HttpReply:
    address = next(iter(fleet.caller_address_by_name.values()))
    common = (("Wagtailrun-Workspace", "stockists"), *headers)
    data = json.dumps(body).encode()
    deadline = time.monotonic() + READY_LIMIT_S
    while True:
        reply = request(address, "POST", path, common, data)
        starting = reply.status == 503 and time.monotonic() < deadline
        if not starting:
            return reply
        time.sleep(0.2)  # Targets have not announced themselves yet.


def main() -> int:
    """Run the demonstration; return its exit code."""
    text = (Path(__file__).parent / "fleet.toml").read_text(encoding="utf-8")
    print("starting 3 control members, 4 entries in 2 data centres, 8 stub targets")
    with Fleet(text, ["east", "west"], SERVICES) as fleet:
        fleet.apply_text()
        print("fleet text applied; every entry is ready")
        prompt = {"prompt": "Which pallets are in stock?"}
        answer = _post(fleet, "/v1/pipelines/stockist-query", prompt)
        print(f"\npipeline stockist-query: status {answer.status}")
        print(answer.body.decode())
        order = {"pallets": 2, "shop": "Klang Road 4"}
        booked = _post(
            fleet,
            "/v1/services/dispatch-desk/book-dispatch",
            order,
            ("Idempotency-Key", "demo-order-1"),
        )
        print(f"order book-dispatch: status {booked.status}")
        verdict = booked.headers.get("wagtailrun-verdict")
        print(f"verdict {verdict}: {booked.body.decode()}")
    print("all processes stopped")
    complete = b"event: done" in answer.body and booked.status == 200
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main())
