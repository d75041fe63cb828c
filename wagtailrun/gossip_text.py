"""The fleet text in force on an entry, and its transfer between entries."""

import json
import tomllib
from collections import OrderedDict
from typing import Any

import attrs

from wagtailrun.exceptions import MessageError
from wagtailrun.fleet import FleetConfiguration, fleet_from_document
from wagtailrun.fleet_diff import apply_diff, diff_documents
from wagtailrun.gossip_messages import EntryRow, GossipText
from wagtailrun.registry_messages import TextUpdate

__all__ = ["TextStore"]

# Partners that missed more changes get the whole text. Kept documents share their
# unchanged tables, so each costs little more than its differences.
KEPT_REVISIONS = 16
Version = tuple[int, int]


class TextStore:
    """Newest text and what is needed to send it as a difference."""

    def __init__(self) -> None:
        self.version: Version = (0, 0)
        self.fleet: FleetConfiguration | None = None
        self.documents_by_version: OrderedDict[Version, dict[str, Any]] = OrderedDict()
        self._whole = ""
        self._differences: dict[Version, str] = {}

    def take(self, message: GossipText) -> bool:
        """Put a text of another entry in force unless it is older.

        Returns:
            Whether the text in force changed.

        Raises:
            DiffMismatch: If the base of the difference is not known here.
            FleetTextError: If the text cannot be used.
            MessageError: If the message holds no text.
        """
        if not self._is_newer(message.version):
            return False
        try:
            if message.document:
                document = json.loads(message.document)
            else:
                base = (message.base_term, message.base_revision)
                document = self._apply(base, message.difference)
        except (ValueError, RecursionError) as error:
            raise MessageError("the text is not valid JSON") from error
        self._put(message.version, document)
        return True

    def take_update(self, update: TextUpdate) -> bool:
        """Put a text of a control member in force unless it is older; see ``take``."""
        version = (getattr(update, "term", 0), update.revision)
        if not self._is_newer(version):
            return False
        if update.difference:
            bases = self.documents_by_version
            base = next((v for v in bases if v[1] == update.base_revision), (0, 0))
            document = self._apply(base, update.difference)
        else:
            document = tomllib.loads(update.text)
        self._put(version, document)
        return True

    def _is_newer(self, version: Version) -> bool:
        """Return whether ``version`` may replace the one in force."""
        return version > self.version

    def _apply(self, base: Version, difference: str) -> dict[str, Any]:
        return apply_diff(
            self.documents_by_version.get(base, {}), json.loads(difference)
        )

    def _put(self, version: Version, document: dict[str, Any]) -> None:
        if self.fleet is not None and version not in self.documents_by_version:
            document = _shared(self.fleet.document, document)
        self.fleet = fleet_from_document(document)
        self.version = version
        self.documents_by_version[version] = document
        self._whole = ""
        self._differences.clear()
        while len(self.documents_by_version) > KEPT_REVISIONS:
            self.documents_by_version.popitem(last=False)

    def message(self, sender: EntryRow, base: Version, whole: bool) -> GossipText:
        """Return the newest text for an entry that has ``base``."""
        result = GossipText(sender, *self.version)
        if self.fleet is None:
            return result
        if whole or base not in self.documents_by_version:
            return attrs.evolve(result, document=self.whole_text())
        difference = self._difference(base)
        term, revision = base
        return attrs.evolve(
            result, base_term=term, base_revision=revision, difference=difference
        )

    def previous(self) -> Version:
        """Return the version before the one in force, or the start."""
        versions = list(self.documents_by_version)
        return versions[-2] if len(versions) > 1 else (0, 0)

    def whole_text(self) -> str:
        """Return the document in force as JSON."""
        if not self._whole:
            self._whole = json.dumps(self.fleet.document, separators=(",", ":"))
        return self._whole

    def _difference(self, base: Version) -> str:
        if base not in self._differences:
            known = self.documents_by_version[base]
            value = diff_documents(known, self.fleet.document)
            self._differences[base] = json.dumps(value, separators=(",", ":"))
        return self._differences[base]


def _shared(base: dict[str, Any], document: dict[str, Any]) -> dict[str, Any]:
    """Return ``document`` with the tables of ``base`` where they are equal."""
    result = {}
    for key, value in document.items():
        known = base.get(key)
        if isinstance(known, dict) and isinstance(value, dict) and known is not value:
            value = _shared(known, value)
            if value.keys() == known.keys() and all(
                value[name] is known[name] for name in value
            ):
                value = known
        elif type(known) is type(value) and known == value:
            # Arrays compare True equal to 1, so only plain values are shared.
            value = value if isinstance(value, list) else known
        result[key] = value
    return result
