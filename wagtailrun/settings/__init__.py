"""Settings of the daemons and commands, from flags and environment variables."""

from wagtailrun.settings.client import ClientSettings
from wagtailrun.settings.control import ControlSettings
from wagtailrun.settings.entry import EntrySettings
from wagtailrun.settings.loading import (
    FILE_SUFFIX,
    SETTINGS_CLASSES,
    LoadedSettings,
    environment_variable,
    flag_name,
    known_variables,
    load_settings,
    read_settings_file,
    secret_from_environment,
    settings_rows,
    value_text,
)
from wagtailrun.settings.relay_control import RelayControlSettings
from wagtailrun.settings.relay_entry import RelayEntrySettings

__all__ = [
    "ClientSettings",
    "ControlSettings",
    "EntrySettings",
    "FILE_SUFFIX",
    "LoadedSettings",
    "RelayControlSettings",
    "RelayEntrySettings",
    "SETTINGS_CLASSES",
    "environment_variable",
    "flag_name",
    "known_variables",
    "load_settings",
    "read_settings_file",
    "secret_from_environment",
    "settings_rows",
    "value_text",
]
