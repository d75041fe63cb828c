"""Client of the operator APIs of the control members, which are tried in turn."""

import json
import sys
from collections.abc import Callable
from typing import Any

import attrs

from wagtailrun.adapters.http_client import HttpClient
from wagtailrun.clock import Clock, SystemClock
from wagtailrun.exceptions import TargetFailed, Verdict, WagtailrunError
from wagtailrun.ports.link import Address
from wagtailrun.settings import ClientSettings, load_settings

__all__ = ["Answer", "NoAnswer", "OperatorClient", "make_client"]

CALL_TIMEOUT_MS = 10_000
# A round tries every control member once.
ROUND_PAUSE_MS = 500
READ_ROUNDS = 2
# About 10 s with the pauses; the election of a leader usually takes less than 4 s.
CHANGE_ROUNDS = 20
STATUS_UNAVAILABLE = 503


class NoAnswer(WagtailrunError):
    """No control member gave an answer.

    Args:
        detail: Failure of the last member tried.
        may_have_run: Whether one of the members may have executed the request.
    """

    def __init__(self, detail: str, may_have_run: bool):
        super().__init__(detail)
        self.may_have_run = may_have_run


@attrs.frozen
class Answer:
    """Answer of a control member.

    Attributes:
        address: Address of the member.
        status: HTTP status.
        value: JSON value.
    """

    address: Address
    status: int
    value: Any

    @property
    def accepted(self) -> bool:
        """Whether the request was executed."""
        return self.status == 200

    def field(self, name: str, kind: type) -> Any:
        """Return a field; raises WagtailrunError unless it is of type ``kind``."""
        value = self.value.get(name)
        if not isinstance(value, kind):
            detail = f"{self.address}: the answer has no valid field {name!r}"
            raise WagtailrunError(detail)
        return value

    def rows(self) -> list[dict[str, Any]]:
        """Return the rows of the answer; raises WagtailrunError if they are invalid."""
        rows: list[dict[str, Any]] = self.field("rows", list)
        if not all(isinstance(row, dict) for row in rows):
            raise WagtailrunError(
                f"{self.address}: the answer has no valid field 'rows'"
            )
        return rows


class OperatorClient:
    """Client of the operator APIs of all control members.

    Args:
        settings: Addresses of the members and credential.
        http: HTTP client.
        clock: Clock.
        progress: Called with a line for each request that is sent; by default the line
            is printed on a terminal.
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
        """Return the answer of the first member that is available."""
        return await self._request_any("GET", path, b"", READ_ROUNDS)

    async def change(
        self, path: str, body: dict[str, Any], timeout_ms: int = CALL_TIMEOUT_MS
    ) -> Answer:
        """Send a change until a member returns its verdict.

        Args:
            path: Path of the request.
            body: It must contain an identifier, as it may be received more than once.
            timeout_ms: Timeout of one request, in milliseconds.
        """
        data = json.dumps(body).encode()
        return await self._request_any("POST", path, data, CHANGE_ROUNDS, timeout_ms)

    async def read_each(self, path: str) -> list[Answer | NoAnswer]:
        """Return the answer or failure of every member, in order."""
        answers: list[Answer | NoAnswer] = []
        for address in self.settings.control:
            try:
                answers.append(await self._request(address, "GET", path, b""))
            except TargetFailed as error:
                answers.append(NoAnswer(f"{address}: {error}", False))
        return answers

    async def _request_any(
        self,
        method: str,
        path: str,
        body: bytes,
        rounds: int,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Answer:
        """Return the answer of the first available member.

        Raises:
            NoAnswer: If no member answered within ``rounds`` rounds.
        """
        may_have_run = False
        detail = "the setting control has no address"
        for number in range(rounds):
            if number:
                await self.clock.sleep_ms(ROUND_PAUSE_MS)
            for address in self.settings.control:
                self.progress(f"sending the request to {address}")
                try:
                    answer = await self._request(
                        address, method, path, body, timeout_ms
                    )
                except TargetFailed as error:
                    may_have_run |= error.verdict is not Verdict.NOT_RUN
                    detail = f"{address}: {error}"
                    continue
                if answer.status != STATUS_UNAVAILABLE:
                    return answer
                detail = f"{address}: {_refusal_detail(answer.value)}"
                verdict = answer.value.get("verdict") if answer.value else None
                may_have_run |= verdict != Verdict.NOT_RUN
        raise NoAnswer(detail, may_have_run and method != "GET")

    async def _request(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Answer:
        credential = self.settings.operator_credential
        headers = (
            ("Authorization", f"Bearer {credential}"),
            ("Content-Type", "application/json"),
        )
        reply = await self.http.request(
            address, method, path, headers, body, timeout_ms=timeout_ms
        )
        try:
            value = json.loads(reply.body)
            if not isinstance(value, dict):
                raise ValueError("not a JSON object")
        except (ValueError, RecursionError) as error:
            raise TargetFailed("the answer is not a JSON object") from error
        return Answer(address, reply.status, value)


def make_client(
    control: str | None, credential_file: str | None, operator: str | None = None
) -> OperatorClient:
    """Return the client of a command with the values of its flags, None if not given.

    Raises:
        SettingsError: If a setting is missing or invalid.
    """
    flags = {
        "control": control,
        "operator_credential_file": credential_file,
        "operator": operator,
    }
    return OperatorClient(load_settings(ClientSettings, flags).settings)


def _refusal_detail(value: dict[str, Any]) -> str:
    return str(value.get("detail") or value.get("title") or "no detail")


def _print_on_terminal(line: str) -> None:
    if sys.stderr.isatty():
        print(line, file=sys.stderr)
