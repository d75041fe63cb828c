"""Writes a page whole or not at all."""

import os
from pathlib import Path

from wagtailrun.exceptions import ResultsError

__all__ = ["check_new", "write_page"]


def check_new(path: Path, *, force: bool) -> None:
    """Raise ResultsError if a file of that name may not be written.

    Args:
        path: Path of the page.
        force: Whether a file that exists may be replaced; nothing but a file may.
    """
    if not path.name or not path.absolute().parent.is_dir():
        raise ResultsError(f"{path}: no such directory")
    if os.path.lexists(path) and not (force and path.is_file()):
        raise ResultsError(f"{path}: exists{'' if force else '; --force replaces it'}")


def write_page(path: Path, text: str, *, force: bool) -> None:
    """Write a page; on an error there is no new file, and an old one is kept.

    Raises:
        ResultsError: If it may not be written, or cannot be.
    """
    check_new(path, force=force)
    part = path.with_name(f".{path.name}.{os.getpid()}.part")
    try:
        try:
            with part.open("x", encoding="utf-8") as stream:
                stream.write(text)
                stream.flush()
                os.fsync(stream.fileno())
            if force:
                part.replace(path)
            else:
                # Unlike a renaming, a link replaces no file that came meanwhile.
                path.hardlink_to(part)
        finally:
            part.unlink(missing_ok=True)
    except OSError as error:
        detail = error.strerror or str(error)
        raise ResultsError(f"{path}: cannot write the page: {detail}") from error
