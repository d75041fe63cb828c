"""Command that runs a daemon, with one flag for each of its settings."""

import importlib
import inspect
from collections.abc import Callable
from typing import Any

import attrs
import curio

from wagtailrun.cli.exit_codes import EXIT_SUCCESS, describe_error
from wagtailrun.clock import SystemClock
from wagtailrun.exceptions import WagtailrunError
from wagtailrun.logs.daemon_log import start_absl_lines
from wagtailrun.logs.events import EVENT_LOG
from wagtailrun.logs.line_writer import LineWriter
from wagtailrun.process.loop_watch import LoopWatch
from wagtailrun.process.process_exit import (
    exit_with_fault,
    exit_with_message,
    run_then_exit,
)
from wagtailrun.settings import FILE_SUFFIX, load_settings

__all__ = ["make_daemon_command"]


def make_daemon_command(
    name: str, cls: type, module: str, summary: str
) -> Callable[..., int]:
    """Return the command that runs a daemon, with one flag for each setting.

    Args:
        name: Name of the command.
        cls: Settings class.
        module: Module that defines ``run_<name>``.
        summary: First line of the help.
    """

    def command(*, print_settings: bool = False, **flags: str | None) -> int:
        loaded = load_settings(cls, flags)
        if print_settings:
            print("\n".join(loaded.lines()))
            return EXIT_SUCCESS
        writer = start_absl_lines()
        try:
            return run_daemon(loaded.settings, writer)
        except (WagtailrunError, OSError) as error:
            exit_with_message(*describe_error(error), writer)
        except Exception:
            exit_with_fault(writer)
        finally:
            writer.stop()

    def run_daemon(settings: Any, writer: LineWriter) -> int:
        # Imported here so that the other commands start faster.
        run = getattr(importlib.import_module(module), f"run_{name}")

        async def serve() -> None:
            await curio.spawn(LoopWatch(SystemClock()).run, daemon=True)
            try:
                await run(settings)
            finally:
                # Reports the suppressed lines that no later line would mention.
                EVENT_LOG.flush()
            writer.stop()

        status: int = curio.run(run_then_exit, serve)
        return status

    help_by_flag, example = {}, [f"wagtailrun {name}"]
    for field in attrs.fields(cls):
        secret = field.metadata["secret"]
        flag = field.name + FILE_SUFFIX.lower() if secret else field.name
        help_by_flag[flag] = (
            "File with this setting: " if secret else ""
        ) + field.metadata["help"]
        if field.default is attrs.NOTHING and not secret:
            example.append(f"--{flag.replace('_', '-')}=...")
    parameters = [
        inspect.Parameter(
            flag, inspect.Parameter.KEYWORD_ONLY, default=None, annotation=str | None
        )
        for flag in help_by_flag
    ]
    help_by_flag["print_settings"] = (
        "Print the effective settings and their origins, then exit."
    )
    parameters.append(
        inspect.Parameter(
            "print_settings",
            inspect.Parameter.KEYWORD_ONLY,
            default=False,
            annotation=bool,
        )
    )
    lines = [f"    {flag}: {text}" for flag, text in help_by_flag.items()]
    command.__name__ = name
    command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        parameters, return_annotation=int
    )
    command.__annotations__ = {p.name: p.annotation for p in parameters}
    command.__doc__ = (
        f"{summary}\n\nExample: {' '.join(example)}\n\nArgs:\n" + "\n".join(lines)
    )
    return command
