"""Log of a daemon: events, and what libraries and Python report, without blocking."""

import io
import logging
import sys
import threading
import traceback
from collections.abc import Callable
from typing import Any

from absl import logging as absl_logging

from wagtailrun.logs import events
from wagtailrun.logs.event_log import EVENT_LOG, MAX_LINE_LENGTH
from wagtailrun.logs.line_writer import LineWriter

__all__ = ["start_absl_lines", "start_json_lines"]

# Frames of an error that its event names, from the place where it was raised.
MAX_FRAMES = 6


def start_json_lines(process: str) -> LineWriter:
    """Write each event to standard output from now on, as one JSON object a line.

    Args:
        process: Name of the process in the lines.
    """
    writer = LineWriter(sys.stdout)
    writer.start()
    EVENT_LOG.use_json_lines(writer.put, process)
    _log_reports()
    return writer


def start_absl_lines() -> LineWriter:
    """Write each event to standard error from now on, as a line of absl."""
    writer = LineWriter(sys.stderr)
    writer.start()
    handler = absl_logging.get_absl_handler()
    handler.python_handler.setStream(_LineStream(writer.put))
    logger = absl_logging.get_absl_logger()
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    _log_reports()
    return writer


def _log_reports() -> None:
    """Make events of what libraries and Python write to standard output and error.

    A write to a pipe that nobody reads would hold the event loop.
    """
    logging.getLogger("curio").setLevel(logging.NOTSET)
    # curio's only warning there is of operations that end after their timeout, which
    # the callers handle.
    logging.getLogger("curio.time").setLevel(logging.ERROR)
    logging.root.handlers[:] = [_ReportHandler(logging.WARNING)]
    logging.root.setLevel(logging.WARNING)
    logging.captureWarnings(True)
    sys.unraisablehook = _log_unraisable
    threading.excepthook = _log_thread_error
    sys.stdout = _LineStream(lambda line: _log_text("standard output", line))
    sys.stderr = _LineStream(lambda line: _log_text("standard error", line))


class _ReportHandler(logging.Handler):
    """Makes events of the log records of libraries."""

    def emit(self, record: logging.LogRecord) -> None:
        try:
            detail = record.getMessage()
        except Exception:
            # Writes the error to standard error, which makes an event of it.
            self.handleError(record)
            return
        _, error, _ = record.exc_info or (None, None, None)
        _log_report(record.name, detail, error, severity=record.levelname)


class _LineStream(io.TextIOBase):
    """Text stream that passes on whole lines.

    Args:
        put_line: Called with each line; must not block.
    """

    def __init__(self, put_line: Callable[[str], None]):
        self.put_line = put_line
        self.lock = threading.RLock()
        self.partial = ""

    def writable(self) -> bool:
        return True

    def write(self, text: str) -> int:
        with self.lock:
            *lines, self.partial = (self.partial + text).split("\n")
            if len(self.partial) > MAX_LINE_LENGTH:
                lines.append(self.partial)
                self.partial = ""
        for line in lines:
            self.put_line(line)
        return len(text)


def _log_text(stream: str, line: str) -> None:
    if line.strip():
        _log_report(stream, line)


def _log_unraisable(report: Any) -> None:
    """Log an error that nobody can catch, such as one of a finalizer."""
    detail = f"{report.err_msg or 'Exception ignored in'}: {report.object!r}"
    _log_report("finalizer", detail, report.exc_value)


def _log_thread_error(report: Any) -> None:
    """Log an error that ended a thread."""
    if report.exc_type is not SystemExit:
        name = report.thread.name if report.thread is not None else ""
        _log_report("thread", name, report.exc_value)


def _log_report(
    source: str, detail: str, error: BaseException | None = None, **fields: Any
) -> None:
    if error is not None:
        fields["error"] = repr(error)
        fields["frames"] = [
            f"{frame.f_code.co_filename}:{line} {frame.f_code.co_name}"
            for frame, line in traceback.walk_tb(error.__traceback__)
        ][-MAX_FRAMES:]
    events.log(events.LIBRARY_REPORT, source=source, detail=detail, **fields)
