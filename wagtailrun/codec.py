"""Encodes attrs messages as Cap'n Proto frames and decodes them."""

import enum
import re
from importlib import resources
from typing import Any, TypeVar

import attrs
import capnp
import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from wagtailrun.exceptions import MessageError

__all__ = ["Channel", "Codec", "codec_of", "decode", "encode"]

T = TypeVar("T")

# Errors that pycapnp and cattrs raise for malformed messages; invalid UTF-8 and frames
# of a wrong length raise ValueError.
DECODE_ERRORS = (capnp.KjException, cattrs.BaseValidationError, KeyError, ValueError)

# Cap'n Proto's limit on the words of 8 bytes read; bounds the work for a malicious
# frame.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024


class Channel(enum.IntEnum):
    """First byte of a frame, which identifies the schema of its message."""

    PEER = 0
    CONSENSUS = 1
    REGISTRY = 2
    GOSSIP = 3
    ACCOUNTS = 4
    DISCOVERY = 5
    STAGES = 6
    PLACEMENT = 7


def camel_case(name: str) -> str:
    """Return the Cap'n Proto spelling of a Python field name."""
    return re.sub(r"_(\w)", lambda match: match.group(1).upper(), name)


class Codec:
    """Encodes and decodes the messages of one schema.

    The schema file has a struct ``Message`` whose only member is a union. Each member
    of the union is named like its message class, with a lower-case first letter. The
    fields of a class have the schema's names in snake case.

    Args:
        channel: Channel of the frames.
        schema_file: Name of the schema file in ``wagtailrun.schema``.
        message_classes: attrs classes that may be sent.
    """

    codecs_by_channel: dict[Channel, "Codec"] = {}
    codecs_by_class: dict[type, "Codec"] = {}

    def __init__(self, channel: Channel, schema_file: str, message_classes: list[type]):
        path = resources.files("wagtailrun.schema") / schema_file
        self.channel = channel
        self.struct = capnp.load(str(path)).Message
        self.converter = cattrs.Converter()
        self.converter.register_unstructure_hook_factory(
            attrs.has, self._make_unstructure_hook
        )
        self.converter.register_structure_hook_factory(
            attrs.has, self._make_structure_hook
        )
        self.classes_by_tag = {self.tag_of(cls): cls for cls in message_classes}
        self.tags_by_class = {cls: tag for tag, cls in self.classes_by_tag.items()}
        self.codecs_by_channel[channel] = self
        self.codecs_by_class.update(dict.fromkeys(message_classes, self))

    @staticmethod
    def tag_of(cls: type) -> str:
        """Return the name of the union member for ``cls``."""
        return cls.__name__[0].lower() + cls.__name__[1:]

    def encode(self, message: Any) -> bytes:
        """Return ``message`` as bytes of the schema's ``Message`` struct."""
        tag = self.tags_by_class[type(message)]
        values = self.converter.unstructure(message)
        return self.struct.new_message(**{tag: values}).to_bytes()

    def decode(self, data: bytes) -> Any:
        """Return the message in ``data``; raises MessageError if it is malformed."""
        try:
            with self.struct.from_bytes(
                data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            ) as reader:
                tag = str(reader.which())
                values = getattr(reader, tag).to_dict()
            return self.converter.structure(values, self.classes_by_tag[tag])
        except DECODE_ERRORS as error:
            raise MessageError(f"malformed {self.channel.name} message") from error

    def _make_unstructure_hook(self, cls: type[T]) -> Any:
        return make_dict_unstructure_fn(cls, self.converter, **_field_overrides(cls))

    def _make_structure_hook(self, cls: type[T]) -> Any:
        return make_dict_structure_fn(cls, self.converter, **_field_overrides(cls))


def _field_overrides(cls: type) -> dict[str, Any]:
    """Return cattrs overrides that map the fields to their camel-case names."""
    fields = attrs.fields(cls)
    return {field.name: override(rename=camel_case(field.name)) for field in fields}


def codec_of(message: Any) -> Codec:
    """Return the codec that encodes ``message``."""
    return Codec.codecs_by_class[type(message)]


def encode(message: Any) -> bytes:
    """Return the frame of ``message``: its channel byte and the encoded message."""
    codec = codec_of(message)
    return bytes((codec.channel,)) + codec.encode(message)


def decode(frame: bytes) -> Any:
    """Return the message in ``frame``; raises MessageError if it is malformed."""
    if not frame or frame[0] not in Codec.codecs_by_channel:
        raise MessageError("frame is empty or its channel is unknown")
    return Codec.codecs_by_channel[Channel(frame[0])].decode(frame[1:])
