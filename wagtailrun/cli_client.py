"""Asks the operator interfaces of the control members, one after the other."""

import json
import sys
from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.clock import Clock, SystemClock
from wagtailrun.exceptions import TargetFailed, Verdict, WagtailrunError
from wagtailrun.ports.link import Address
from wagtailrun.settings import ClientSettings

__all__ = ["Answer", "NoAnswer", "OperatorClient"]

CALL_TIMEOUT_MS = 10_000
ROUND_PAUSE_MS = 500
READ_ROUNDS = 2
# With the pauses, 10 s: a new leader is usually there within 4 s.
CHANGE_ROUNDS = 20
UNAVAILABLE = 503


class NoAnswer(WagtailrunError):
    """No control member answered.

    Args:
        detail: What happened at the last one.
        may_have_run: Whether one may have carried the call out.
    """

    def __init__(self, detail: str, may_have_run: bool):
        super().__init__(detail)
        self.may_have_run = may_have_run


@attrs.frozen
class Answer:
    """Answer of a control member.

    Attributes:
        address: The member.
        status: HTTP status.
        value: JSON value.
    """

    address: Address
    status: int
    value: Any

    @property
    def accepted(self) -> bool:
        """Whether the call was carried out."""
        return self.status == 200

    def field(self, name: str, kind: type) -> Any:
        """Return a field; raises WagtailrunError if it is not of ``kind``."""
        value = self.value.get(name)
        if not isinstance(value, kind):
            detail = f"{self.address}: the answer has no {name} that can be used"
            raise WagtailrunError(detail)
        return value

    def rows(self) -> list[dict[str, Any]]:
        """Return the rows of the answer; raises WagtailrunError without any."""
        rows = self.field("rows", list)
        if not all(isinstance(row, dict) for row in rows):
            raise WagtailrunError(f"{self.address}: the answer has no usable rows")
        return rows


class OperatorClient:
    """Client of the operator interfaces.

    Args:
        settings: Addresses and credential.
        http: HTTP client.
        clock: Clock.
        progress: Takes one line for each try.
    """

    def __init__(
        self,
        settings: ClientSettings,
        http: HttpClient | None = None,
        clock: Clock | None = None,
        progress: Callable[[str], None] | None = None,
    ):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.http = http or HttpClient(self.clock)
        self.progress = progress or _print_on_terminal

    async def read(self, path: str) -> Answer:
        """Return the answer of the first member that can give one."""
        return await self._ask("GET", path, b"", READ_ROUNDS)

    async def change(self, path: str, body: dict[str, Any]) -> Answer:
        """Send a change until a member gives its verdict.

        The body must carry an identifier, because it may arrive more than once.
        """
        return await self._ask("POST", path, json.dumps(body).encode(), CHANGE_ROUNDS)

    async def read_each(self, path: str) -> list[Answer | NoAnswer]:
        """Return the answer, or failure, of every member in order."""
        answers: list[Answer | NoAnswer] = []
        for address in self.settings.control:
            try:
                answers.append(await self._ask_one(address, "GET", path, b""))
            except TargetFailed as error:
                answers.append(NoAnswer(f"{address}: {error}", False))
        return answers

    async def _ask(self, method: str, path: str, body: bytes, rounds: int) -> Answer:
        may_have_run = False
        detail = "no control member is named"
        for number in range(rounds):
            if number:
                await self.clock.sleep_ms(ROUND_PAUSE_MS)
            for address in self.settings.control:
                self.progress(f"asking {address}")
                try:
                    answer = await self._ask_one(address, method, path, body)
                except TargetFailed as error:
                    may_have_run |= error.verdict is not Verdict.NOT_RUN
                    detail = f"{address}: {error}"
                    continue
                if answer.status != UNAVAILABLE:
                    return answer
                detail = f"{address}: {_detail(answer.value)}"
                verdict = answer.value.get("verdict") if answer.value else None
                may_have_run |= verdict != Verdict.NOT_RUN
        raise NoAnswer(detail, may_have_run and method != "GET")

    async def _ask_one(
        self, address: Address, method: str, path: str, body: bytes
    ) -> Answer:
        credential = self.settings.operator_credential
        headers = (
            ("Authorization", f"Bearer {credential}"),
            ("Content-Type", "application/json"),
        )
        reply = await self.http.request(
            address, method, path, headers, body, timeout_ms=CALL_TIMEOUT_MS
        )
        try:
            value = json.loads(reply.body)
            if not isinstance(value, dict):
                raise ValueError("no object")
        except (ValueError, RecursionError) as error:
            detail = "the answer is not a JSON object"
            raise TargetFailed(detail, verdict=Verdict.MAY_HAVE_RUN) from error
        return Answer(address, reply.status, value)


def _detail(value: dict[str, Any]) -> str:
    return str(value.get("detail") or value.get("title") or "no detail")


def _print_on_terminal(line: str) -> None:
    if sys.stderr.isatty():
        print(line, file=sys.stderr)
