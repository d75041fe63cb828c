"""One stage or call of a request, as input to admission and routing."""

import attrs

from wagtailrun.fleet.model import Call, Workspace
from wagtailrun.targets.estimates import size_class

__all__ = ["Work"]


@attrs.frozen
class Work:
    """One stage or call of a request.

    Attributes:
        service: Service that runs it.
        path: HTTP path at a target.
        body: JSON body.
        request_id: Identifier of the caller's request.
        workspace: Workspace of the caller.
        deadline_at_ms: When the caller's deadline ends, on the clock.
        idempotent: Whether it may be sent more than once.
        may_wait: Whether it may be delayed in favour of other work.
        priority: Priority of the workspace; larger is more urgent.
        pipeline: Pipeline that it belongs to, or empty.
        stage: Kind of the stage, or name of the call.
        share: Weight of the workspace in the division of the capacity.
        size: Size of the prompt in characters; 0 means the size of the body in bytes.
        max_tokens: Largest number of tokens to generate, 0 if the caller gave none.
        later_stages: Service and stage of the stages that follow.
        prefixes: Hashes of the prompt's leading blocks.
        software_version: Version that its target must have, because it continues a
            stream; None if any will do. Targets that name no version are taken to have
            the same one.
    """

    service: str
    path: str
    body: bytes
    request_id: str
    workspace: str
    deadline_at_ms: int
    idempotent: bool = True
    may_wait: bool = False
    priority: int = 0
    pipeline: str = ""
    stage: str = ""
    share: int = 1
    size: int = 0
    max_tokens: int = 0
    later_stages: tuple[tuple[str, str], ...] = ()
    prefixes: tuple[int, ...] = ()
    software_version: str | None = None

    @property
    def length(self) -> int:
        """Size of the prompt in characters, or of the body in bytes."""
        return self.size or len(self.body)

    @property
    def size_class(self) -> tuple[int, int]:
        """Size class by which durations are estimated."""
        return size_class(self.length, self.max_tokens)

    @classmethod
    def for_call(
        cls,
        service: str,
        call: Call,
        workspace: Workspace,
        body: bytes,
        request_id: str,
        deadline_at_ms: int,
    ) -> "Work":
        """Return the work for one call of a plain service."""
        return cls(
            service=service,
            path=f"/v1/calls/{call.name}",
            body=body,
            request_id=request_id,
            workspace=workspace.name,
            deadline_at_ms=deadline_at_ms,
            idempotent=call.idempotent,
            may_wait=call.may_wait,
            priority=workspace.priority,
            share=workspace.share,
            stage=call.name,
        )
