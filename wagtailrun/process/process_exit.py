"""Ends a daemon without the clean-up of the event loop and of the interpreter."""

import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn

from wagtailrun.logs.line_writer import LineWriter
from wagtailrun.process.start_objects import freeze_start_objects

__all__ = ["exit_with_fault", "exit_with_message", "run_then_exit"]

EXIT_SUCCESS = 0
EXIT_FAULT = 1
# A reader that pauses for a moment still gets the reason why a daemon ends.
MESSAGE_TIMEOUT_S = 1.0


async def run_then_exit(
    function: Callable[..., Awaitable[None]], *arguments: Any
) -> NoReturn:
    """Run a daemon and end the process with status 0 when it returns.

    Garbage collections leave out all objects of before the daemon runs.

    The clean-up of the interpreter takes a tenth of a second of processor time, and
    waits for the reader of standard output. It writes nothing that the daemon has not
    written: files are not buffered, and a log that nobody reads loses its last lines.

    Args:
        function: The daemon; an error that it raises is passed on.
        *arguments: Arguments of the daemon.
    """
    freeze_start_objects()
    await function(*arguments)
    os._exit(EXIT_SUCCESS)


def exit_with_message(
    text: str, status: int, writer: LineWriter | None = None
) -> NoReturn:
    """Write why a daemon ends to standard error, which may be unread, and end it.

    Args:
        text: One or more lines.
        status: Exit status of the process.
        writer: Writer of the log if that goes to standard error, too: a second one
            could write the text before lines that wait for the reader.
    """
    if writer is None:
        writer = LineWriter(sys.__stderr__)
        writer.start()
    writer.stop(MESSAGE_TIMEOUT_S, text)
    os._exit(status)


def exit_with_fault(writer: LineWriter | None = None) -> NoReturn:
    """End a daemon because of the unexpected error that is being handled.

    Args:
        writer: See ``exit_with_message``.
    """
    exit_with_message(traceback.format_exc().rstrip(), EXIT_FAULT, writer)
