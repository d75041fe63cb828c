"""Reading of settings from flags and environment variables."""

import difflib
import os
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs

from wagtailrun.clock import MS_PER_SECOND
from wagtailrun.exceptions import SettingsError
from wagtailrun.settings.client import ClientSettings
from wagtailrun.settings.control import ControlSettings
from wagtailrun.settings.entry import EntrySettings
from wagtailrun.settings.parsing import parse_secret
from wagtailrun.settings.relay_control import RelayControlSettings
from wagtailrun.settings.relay_entry import RelayEntrySettings

__all__ = [
    "FILE_SUFFIX",
    "SETTINGS_CLASSES",
    "LoadedSettings",
    "environment_variable",
    "flag_name",
    "known_variables",
    "load_settings",
    "read_settings_file",
    "secret_from_environment",
    "settings_rows",
    "value_text",
]

T = TypeVar("T", bound=attrs.AttrsInstance)

ENVIRONMENT_PREFIX = "WAGTAILRUN_"
FILE_SUFFIX = "_FILE"
MAX_SECRET_BYTES = 4_096
HIDDEN = "(hidden)"
BYTE_ORDER_MARK = "\ufeff"

SETTINGS_CLASSES = (
    EntrySettings,
    ControlSettings,
    ClientSettings,
    RelayEntrySettings,
    RelayControlSettings,
)
# Environment variables that the package reads in addition to the settings.
OTHER_VARIABLES = ("WAGTAILRUN_SETTINGS",)


@attrs.frozen
class LoadedSettings:
    """Validated settings and the origin of each.

    Attributes:
        settings: Instance of a settings class.
        origins_by_name: For each setting ``"flag"``, ``"default"``, the environment
            variable, or the file of a secret.
    """

    settings: Any
    origins_by_name: dict[str, str]

    def lines(self) -> list[str]:
        """Return one line for each setting; secrets are hidden."""
        lines = []
        for field in attrs.fields(type(self.settings)):
            value = getattr(self.settings, field.name)
            text = HIDDEN if field.metadata["secret"] else value_text(value)
            lines.append(f"{field.name}={text}  # {self.origins_by_name[field.name]}")
        return lines


def environment_variable(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + name.upper()


def flag_name(field: "attrs.Attribute[Any]") -> str:
    """Return the flag of a setting; the flag of a secret takes a file name."""
    suffix = FILE_SUFFIX.lower() if field.metadata["secret"] else ""
    return "--" + (field.name + suffix).replace("_", "-")


def value_text(value: Any) -> str:
    """Return a setting's value in the form that its flag accepts."""
    if isinstance(value, tuple):
        parts = (
            f"{part[0]}={part[1]}" if isinstance(part, tuple) else str(part)
            for part in value
        )
        return ",".join(parts)
    return str(value)


def known_variables() -> list[str]:
    """Return every environment variable that the package reads."""
    names = set()
    for cls in SETTINGS_CLASSES:
        for field in attrs.fields(cls):
            names.add(environment_variable(field.name))
            if field.metadata["secret"]:
                names.add(environment_variable(field.name) + FILE_SUFFIX)
    return sorted(names.union(OTHER_VARIABLES))


def read_settings_file(path: str) -> dict[str, str]:
    """Return the ``WAGTAILRUN_NAME=value`` lines of a file as a mapping.

    Empty lines and lines that begin with ``#`` are ignored.

    Raises:
        SettingsError: If the file cannot be read or a line is malformed.
    """
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read {path!r}: {error}") from error
    if content.startswith(BYTE_ORDER_MARK):
        # It would become part of the first name, and that setting would be ignored.
        raise SettingsError(f"{path}:1: begins with a byte order mark; save it without")
    values = {}
    for number, line in enumerate(content.splitlines(), 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        name, separator, value = text.partition("=")
        if not separator:
            raise SettingsError(f"{path}:{number}: not of the form NAME=value")
        values[name.strip()] = value.strip()
    return values


def load_settings(
    cls: type[T],
    flags: Mapping[str, str | None],
    environment: Mapping[str, str] | None = None,
) -> LoadedSettings:
    """Read and validate all settings of a class.

    Args:
        cls: Settings class.
        flags: Values of the flags by name of the setting, with suffix ``_file`` for a
            secret; None for a flag that is not given.
        environment: Environment variables, by default those of the process.

    Raises:
        SettingsError: With one line for every fault.
    """
    environment = os.environ if environment is None else environment
    faults = _unknown_variables(environment)
    values, origins = {}, {}
    for field in attrs.fields(cls):
        try:
            text, origin = _text_and_origin(field, flags, environment)
        except ValueError as error:
            faults.append(str(error))
            continue
        origins[field.name] = origin
        if text is None:
            if field.default is attrs.NOTHING:
                faults.append(_missing_setting(field))
            continue
        try:
            values[field.name] = field.metadata["parse"](text)
        except ValueError as error:
            displayed = HIDDEN if field.metadata["secret"] else repr(text[:80])
            faults.append(f"{field.name}: {displayed} from {origin}: {error}")
    settings = None
    if not faults:
        settings = cls(**values)
        faults = _find_conflicts(settings)
    if faults:
        raise SettingsError("\n".join(faults))
    return LoadedSettings(settings, origins)


def _text_and_origin(
    field: "attrs.Attribute[Any]",
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str | None, str]:
    """Return the text of a setting, None if it is not given, and its origin.

    A flag overrides an environment variable.
    """
    variable = environment_variable(field.name)
    if field.metadata["secret"]:
        path, origin = flags.get(field.name + FILE_SUFFIX.lower()), flag_name(field)
        if path is None:
            origin = variable + FILE_SUFFIX
            path = environment.get(origin) or None
        if path is not None:
            return _read_secret(path, origin), f"file {path} from {origin}"
    elif flags.get(field.name) is not None:
        return flags[field.name], "flag"
    if environment.get(variable):
        return environment[variable], variable
    return None, "default"


def _read_secret(path: str, origin: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read(MAX_SECRET_BYTES).strip()
    except (OSError, ValueError) as error:
        raise ValueError(f"{origin}: cannot read {path!r}: {error}") from error


def _missing_setting(field: "attrs.Attribute[Any]") -> str:
    variable = environment_variable(field.name)
    if field.metadata["secret"]:
        return (
            f"{field.name}: set {variable}, or name its file with "
            f"{variable}{FILE_SUFFIX} or {flag_name(field)}"
        )
    return f"{field.name}: give {flag_name(field)} or set {variable}"


def _unknown_variables(environment: Mapping[str, str]) -> list[str]:
    known = known_variables()
    faults = []
    for name in sorted(environment):
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            nearest = difflib.get_close_matches(name, known, 1, cutoff=0.0)[0]
            faults.append(f"{name} is unknown; the nearest known name is {nearest}")
    return faults


def _find_conflicts(settings: Any) -> list[str]:
    """Return the conflicts between settings that are each valid alone."""
    if isinstance(settings, EntrySettings):
        if settings.drain_notice_ms > settings.drain_limit_ms:
            return ["drain_notice_ms: it exceeds drain_limit_ms; lower it"]
        addresses = [
            settings.caller_address,
            settings.target_address,
            settings.peer_listen_address or settings.peer_address,
        ]
    elif isinstance(settings, RelayEntrySettings):
        if settings.effective_drain_notice_ms > settings.grace_s * MS_PER_SECOND:
            return ["drain_notice_ms: it exceeds grace_s; lower it"]
        addresses = [
            settings.caller_address,
            settings.ready_address,
            settings.peer_listen_address or settings.peer_address,
        ]
    elif isinstance(settings, RelayControlSettings | ControlSettings):
        addresses = [
            settings.operator_address,
            settings.peer_listen_address or settings.peer_address,
        ]
    else:
        return []
    if len(set(addresses)) < len(addresses):
        return ["two addresses of this process are the same; give each its own port"]
    return []


def secret_from_environment(
    name: str, environment: Mapping[str, str] | None = None
) -> str:
    """Return the secret in ``WAGTAILRUN_<name>``.

    If ``WAGTAILRUN_<name>_FILE`` names a file, the secret is read from it instead.

    Raises:
        SettingsError: If the secret is missing or invalid.
    """
    environment = os.environ if environment is None else environment
    variable = ENVIRONMENT_PREFIX + name
    path = environment.get(variable + FILE_SUFFIX, "")
    try:
        if path:
            return parse_secret(_read_secret(path, variable + FILE_SUFFIX))
        return parse_secret(environment.get(variable, ""))
    except ValueError as error:
        raise SettingsError(
            f"{variable}: {error}; set it, or {variable}{FILE_SUFFIX}"
        ) from error


def settings_rows(cls: type) -> list[str]:
    """Return the table rows of ``docs/settings.md`` for a settings class."""
    rows = []
    for field in attrs.fields(cls):
        default = "required"
        if field.default is not attrs.NOTHING:
            default = ""
            if field.default not in ((), None):
                default = f"`{value_text(field.default)}`"
        variable = f"`{environment_variable(field.name)}`"
        if field.metadata["secret"]:
            variable += f", `{environment_variable(field.name)}{FILE_SUFFIX}`"
        help_text = field.metadata["help"]
        rows.append(f"| `{flag_name(field)}` | {variable} | {default} | {help_text} |")
    return rows
