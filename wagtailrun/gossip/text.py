"""The active fleet configuration of an entry, and its transfer between entries."""

import json
import tomllib
from collections import OrderedDict
from typing import Any

import attrs

from wagtailrun.exceptions import MessageError
from wagtailrun.fleet.diff import apply_diff, diff_documents
from wagtailrun.fleet.model import FleetConfiguration, fleet_from_document
from wagtailrun.gossip.messages import EntryRow, GossipText
from wagtailrun.registry.messages import TextUpdate

__all__ = ["FleetConfigStore"]

# Partners that missed more changes get the whole document. Kept documents share their
# unchanged tables, so each costs little more memory than its differences.
KEPT_REVISIONS = 16
Version = tuple[int, int]


class FleetConfigStore:
    """Newest fleet configuration, and the older ones to send differences from."""

    def __init__(self) -> None:
        self.version: Version = (0, 0)
        self.fleet: FleetConfiguration | None = None
        self.documents_by_version: OrderedDict[Version, dict[str, Any]] = OrderedDict()
        self._document_json = ""
        self._differences: dict[Version, str] = {}

    def apply_message(self, message: GossipText) -> bool:
        """Activate a configuration from another entry if it is newer.

        Returns:
            Whether the active configuration changed.

        Raises:
            DiffMismatch: If the base of the difference is not known here.
            FleetTextError: If the configuration cannot be used.
            MessageError: If the message holds no valid JSON.
        """
        if not self._is_newer(message.version):
            return False
        try:
            if message.document:
                document = json.loads(message.document)
            else:
                base = (message.base_term, message.base_revision)
                document = self._apply_difference(base, message.difference)
        except (ValueError, RecursionError) as error:
            raise MessageError(
                f"fleet configuration {message.version} is not valid JSON: {error}"
            ) from error
        self._activate(message.version, document)
        return True

    def apply_update(self, update: TextUpdate) -> bool:
        """Activate a configuration from a control member if it is newer.

        Returns and raises what ``apply_message`` does.
        """
        version = (getattr(update, "term", 0), update.revision)
        if not self._is_newer(version):
            return False
        if update.difference:
            bases = self.documents_by_version
            base = next((v for v in bases if v[1] == update.base_revision), (0, 0))
            document = self._apply_difference(base, update.difference)
        else:
            document = tomllib.loads(update.text)
        self._activate(version, document)
        return True

    def _is_newer(self, version: Version) -> bool:
        """Return whether ``version`` may replace the active one."""
        return version > self.version

    def _apply_difference(self, base: Version, difference: str) -> dict[str, Any]:
        return apply_diff(
            self.documents_by_version.get(base, {}), json.loads(difference)
        )

    def _activate(self, version: Version, document: dict[str, Any]) -> None:
        if self.fleet is not None and version not in self.documents_by_version:
            document = _reuse_equal_tables(self.fleet.document, document)
        self.fleet = fleet_from_document(document)
        self.version = version
        self.documents_by_version[version] = document
        self._document_json = ""
        self._differences.clear()
        while len(self.documents_by_version) > KEPT_REVISIONS:
            self.documents_by_version.popitem(last=False)

    def build_message(self, sender: EntryRow, base: Version, whole: bool) -> GossipText:
        """Return the message that brings an entry with version ``base`` up to date.

        Args:
            sender: Row of this entry.
            base: Version that the receiver has.
            whole: Whether to send the whole document even if ``base`` is kept here.
        """
        result = GossipText(sender, *self.version)
        if self.fleet is None:
            return result
        if whole or base not in self.documents_by_version:
            return attrs.evolve(result, document=self.document_json())
        difference = self._difference_from(base, self.fleet)
        term, revision = base
        return attrs.evolve(
            result, base_term=term, base_revision=revision, difference=difference
        )

    def previous_version(self) -> Version:
        """Return the version before the active one, (0, 0) if there is none."""
        versions = list(self.documents_by_version)
        return versions[-2] if len(versions) > 1 else (0, 0)

    def document_json(self) -> str:
        """Return the active document as JSON; empty if there is none."""
        if not self._document_json and self.fleet is not None:
            self._document_json = json.dumps(self.fleet.document, separators=(",", ":"))
        return self._document_json

    def _difference_from(self, base: Version, fleet: FleetConfiguration) -> str:
        if base not in self._differences:
            known = self.documents_by_version[base]
            value = diff_documents(known, fleet.document)
            self._differences[base] = json.dumps(value, separators=(",", ":"))
        return self._differences[base]


def _reuse_equal_tables(
    base: dict[str, Any], document: dict[str, Any]
) -> dict[str, Any]:
    """Return ``document`` with equal tables replaced by those of ``base``."""
    result = {}
    for key, value in document.items():
        known = base.get(key)
        if isinstance(known, dict) and isinstance(value, dict) and known is not value:
            value = _reuse_equal_tables(known, value)
            if value.keys() == known.keys() and all(
                value[name] is known[name] for name in value
            ):
                value = known
        elif type(known) is type(value) and known == value:
            # Arrays compare True equal to 1, so only plain values are shared.
            value = value if isinstance(value, list) else known
        result[key] = value
    return result
