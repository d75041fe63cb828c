"""Transfer of the fleet configuration to entries, in parts and as differences."""

from collections import OrderedDict

import attrs
import xxhash
import zstandard

from wagtailrun.discovery.messages import ConfigurationPart, FetchConfiguration
from wagtailrun.exceptions import MessageError

__all__ = ["MAX_PART_BYTES", "ConfigurationHistory", "ConfigurationTransfer"]

# A part occupies a link of 5 Mbit/s for less than 30 ms, so that other messages, whose
# time limits are 150 ms and more, are hardly delayed.
MAX_PART_BYTES = 16 * 1024
# Earlier revisions are kept as bases of differences up to this total size.
KEPT_TEXT_BYTES = 24 * 1024 * 1024
# Entries with the same base share a payload. Entries that were cut off need others.
KEPT_PAYLOADS = 16
# A fleet configuration has 4 MB at most; the limit allows for growth.
MAX_TEXT_BYTES = 8 * 1024 * 1024
COMPRESSION_LEVEL = 3
MAX_WINDOW_BYTES = 4 * MAX_TEXT_BYTES


@attrs.frozen
class _Payload:
    """Compressed revision of the fleet configuration.

    Attributes:
        identity: Digest of the data; equal at all members that have both revisions.
        revision: Revision that it yields.
        base_revision: Revision that it is a difference from; 0 for a whole text.
        data: Zstandard frame.
    """

    identity: int
    revision: int
    base_revision: int
    data: bytes


class ConfigurationHistory:
    """Newest revisions of the fleet configuration, which entries fetch in parts."""

    def __init__(self) -> None:
        # In the order of revisions.
        self.texts_by_revision: OrderedDict[int, bytes] = OrderedDict()
        self.payloads_by_identity: OrderedDict[int, _Payload] = OrderedDict()
        self.identities_by_base: dict[int, int] = {}

    @property
    def newest_revision(self) -> int:
        """Newest revision that was added; 0 if there is none."""
        return next(reversed(self.texts_by_revision), 0)

    def add(self, revision: int, text: str) -> None:
        """Add a revision unless it is known or older than the newest one."""
        if revision <= self.newest_revision:
            return
        self.texts_by_revision[revision] = text.encode()
        self.identities_by_base.clear()
        total_bytes = sum(map(len, self.texts_by_revision.values()))
        while total_bytes > KEPT_TEXT_BYTES and len(self.texts_by_revision) > 1:
            _, oldest = self.texts_by_revision.popitem(last=False)
            total_bytes -= len(oldest)

    def get_part(self, request: FetchConfiguration) -> ConfigurationPart:
        """Return the requested part of a transfer.

        A transfer that is not known here is replaced by one of the newest revision,
        which the entry recognizes by its identity. The size is 0 if the entry has the
        newest revision.
        """
        payload = self.payloads_by_identity.get(request.identity)
        if payload is None:
            if self.newest_revision <= request.base_revision:
                return ConfigurationPart(0, self.newest_revision, 0, 0, 0, b"")
            payload = self._get_newest(request.base_revision)
        offset = request.offset if payload.identity == request.identity else 0
        limit = min(max(request.limit, 1), MAX_PART_BYTES)
        return ConfigurationPart(
            identity=payload.identity,
            revision=payload.revision,
            base_revision=payload.base_revision,
            size=len(payload.data),
            offset=offset,
            data=payload.data[offset : offset + limit],
        )

    def _get_newest(self, base_revision: int) -> _Payload:
        """Return the newest revision, as a difference if the base is kept."""
        if base_revision not in self.texts_by_revision:
            base_revision = 0
        identity = self.identities_by_base.get(base_revision)
        if identity is not None and identity in self.payloads_by_identity:
            return self.payloads_by_identity[identity]
        base = self.texts_by_revision.get(base_revision, b"")
        data = _compress(base, self.texts_by_revision[self.newest_revision])
        identity = xxhash.xxh3_64_intdigest(data)
        payload = _Payload(identity, self.newest_revision, base_revision, data)
        self.identities_by_base[base_revision] = identity
        self.payloads_by_identity[identity] = payload
        while len(self.payloads_by_identity) > KEPT_PAYLOADS:
            self.payloads_by_identity.popitem(last=False)
        return payload


class ConfigurationTransfer:
    """Parts of one payload that an entry has received so far."""

    def __init__(self) -> None:
        self.identity = 0
        self.revision = 0
        self.base_revision = 0
        self.size = 0
        self.data = bytearray()

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return 0 < self.size == len(self.data)

    def add(self, part: ConfigurationPart) -> None:
        """Add a part; a part of another payload replaces what was received.

        Raises:
            MessageError: If the part does not fit to what was received.
        """
        if part.identity != self.identity:
            self.identity = part.identity
            self.revision = part.revision
            self.base_revision = part.base_revision
            self.size = part.size
            self.data = bytearray()
        end = part.offset + len(part.data)
        if part.offset != len(self.data) or not part.data or end > self.size:
            raise MessageError(
                f"bytes {part.offset} to {end} of a configuration do not fit: expected "
                f"{len(self.data)} to at most {self.size}"
            )
        self.data += part.data

    def decompress(self, base: bytes) -> bytes:
        """Return the text of the complete transfer.

        Args:
            base: Text of the base revision; ignored if the transfer has none.

        Raises:
            MessageError: If the data is damaged or made from another base.
        """
        dictionary = _make_dictionary(base if self.base_revision else b"")
        try:
            parameters = zstandard.get_frame_parameters(bytes(self.data))
            if parameters.content_size > MAX_TEXT_BYTES:
                raise MessageError(
                    f"a configuration of {parameters.content_size} bytes exceeds "
                    f"{MAX_TEXT_BYTES}"
                )
            decompressor = zstandard.ZstdDecompressor(
                dict_data=dictionary, max_window_size=MAX_WINDOW_BYTES
            )
            return decompressor.decompress(bytes(self.data))
        except zstandard.ZstdError as error:
            raise MessageError(
                f"revision {self.revision} cannot be made from revision "
                f"{self.base_revision}: {error}"
            ) from error


def _compress(base: bytes, text: bytes) -> bytes:
    # The window spans both texts, so that all of the base can be referred to. The
    # checksum detects a different base at the receiver.
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        window_log=max((len(base) + len(text)).bit_length(), zstandard.WINDOWLOG_MIN),
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        compression_params=parameters, dict_data=_make_dictionary(base)
    )
    return compressor.compress(text)


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
