"""Ends a daemon without the clean-up of the event loop and of the interpreter."""

import os
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

__all__ = ["run_then_exit"]

EXIT_SUCCESS = 0


async def run_then_exit(
    function: Callable[..., Awaitable[None]], *arguments: Any
) -> NoReturn:
    """Run a daemon and end the process with status 0 when it returns.

    The clean-up of the interpreter takes a tenth of a second of processor time, and
    waits for the reader of standard output. It writes nothing that the daemon has not
    written: files are not buffered, and a log that nobody reads loses its last lines.

    Args:
        function: The daemon; an error that it raises is passed on.
        *arguments: Arguments of the daemon.
    """
    await function(*arguments)
    os._exit(EXIT_SUCCESS)
