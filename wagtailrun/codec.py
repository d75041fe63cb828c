"""Encodes attrs messages as Cap'n Proto frames and decodes them."""

import enum
import functools
import re
from collections.abc import Callable
from importlib import resources
from typing import Any, get_args, get_origin

import attrs
import capnp

from wagtailrun.exceptions import MessageError
from wagtailrun.logs import events

__all__ = [
    "Channel",
    "Codec",
    "check_encodable",
    "codec_of",
    "decode",
    "encode",
    "independent_rows",
]

# Errors that pycapnp raises for malformed messages, and message classes for values that
# they do not accept. Invalid UTF-8 and frames of a wrong length raise ValueError.
DECODE_ERRORS = (capnp.KjException, AttributeError, KeyError, TypeError, ValueError)
# Errors that pycapnp raises for values that do not fit the schema: out of range, of
# another type, or text that is not Unicode.
ENCODE_ERRORS = (
    capnp.KjException,
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
)

# Cap'n Proto's limit on the words of 8 bytes read; bounds the work for a malicious
# frame.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024

# Mark of fields of a message class whose rows do not depend on each other.
INDEPENDENT = "independent"
# Skipped rows whose log line is remembered: an odd row is in a message again and again.
MAX_LOGGED_ROWS = 1_024


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
    TUNNELS = 8


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
    # Schemas of the messages and of the classes that they consist of.
    schemas_by_class: dict[type, Any] = {}

    def __init__(self, channel: Channel, schema_file: str, message_classes: list[type]):
        path = resources.files("wagtailrun.schema") / schema_file
        self.channel = channel
        self.struct = capnp.load(str(path)).Message
        self.classes_by_tag = {self.tag_of(cls): cls for cls in message_classes}
        self.tags_by_class = {cls: tag for tag, cls in self.classes_by_tag.items()}
        self.readers_by_tag = {
            tag: _make_reader(cls) for tag, cls in self.classes_by_tag.items()
        }
        self.writers_by_tag = {
            tag: _make_writer(cls) for tag, cls in self.classes_by_tag.items()
        }
        fields = self.struct.schema.fields
        for tag, cls in self.classes_by_tag.items():
            _collect_schemas(cls, fields[tag].schema, self.schemas_by_class)
        self.codecs_by_channel[channel] = self
        self.codecs_by_class.update(dict.fromkeys(message_classes, self))

    @staticmethod
    def tag_of(cls: type) -> str:
        """Return the name of the union member for ``cls``."""
        return cls.__name__[0].lower() + cls.__name__[1:]

    def encode(self, message: Any) -> bytes:
        """Return ``message`` as bytes of the schema's ``Message`` struct.

        Raises:
            MessageError: If a value does not fit the schema.
        """
        tag = self.tags_by_class[type(message)]
        builder = self.struct.new_message()
        self.writers_by_tag[tag](builder.init(tag), message)
        data: bytes = builder.to_bytes()
        return data

    def decode(self, data: bytes) -> Any:
        """Return the message in ``data``; raises MessageError if it is malformed."""
        try:
            with self.struct.from_bytes(
                data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
            ) as reader:
                tag = str(reader.which())
                return self.readers_by_tag[tag](getattr(reader, tag))
        except DECODE_ERRORS as error:
            raise MessageError(f"malformed {self.channel.name} message") from error


# The functions below use the attributes of pycapnp's readers and builders: its
# dictionaries take up to ten times as long, which was most of the processor time of an
# entry that forms stage calls.
_Reader = Callable[[Any], Any]
_Writer = Callable[[Any, Any], None]


def _make_reader(cls: type) -> _Reader:
    """Return a function that reads a message of ``cls`` from a Cap'n Proto struct."""
    attrs.resolve_types(cls)
    fields = [
        (camel_case(field.name), _make_value_reader(field.type))
        for field in attrs.fields(cls)
    ]

    def read(struct: Any) -> Any:
        return cls(
            *[
                getattr(struct, name)
                if convert is None
                else convert(getattr(struct, name))
                for name, convert in fields
            ]
        )

    return read


def _make_value_reader(kind: Any) -> _Reader | None:
    """Return a function that converts a field's value; None if it stays as it is."""
    if get_origin(kind) in (list, tuple):
        collection, item = get_origin(kind), get_args(kind)[0]
        if not attrs.has(item):
            convert: _Reader = collection
            return convert
        read_item = _make_reader(item)
        return lambda values: collection([read_item(value) for value in values])
    return _make_reader(kind) if attrs.has(kind) else None


@functools.cache
def _make_writer(cls: type) -> _Writer:
    """Return a function that writes a message of ``cls`` to a Cap'n Proto struct."""
    attrs.resolve_types(cls)
    fields = [
        (
            field.name,
            _make_field_writer(
                camel_case(field.name), field.type, INDEPENDENT in field.metadata
            ),
        )
        for field in attrs.fields(cls)
    ]

    def write(struct: Any, message: Any) -> None:
        try:
            for name, write_field in fields:
                write_field(struct, getattr(message, name))
        except ENCODE_ERRORS as error:
            detail = f"{cls.__name__}.{name} does not fit its type in the schema"
            raise MessageError(detail) from error

    return write


def _make_field_writer(name: str, kind: Any, independent: bool) -> _Writer:
    """Return a function that writes one field of a Cap'n Proto struct."""
    if get_origin(kind) in (list, tuple):
        item = get_args(kind)[0]
        if attrs.has(item):
            write_list = _make_list_writer(name, _make_writer(item))
            return _skip_odd_rows(write_list) if independent else write_list
        return lambda struct, values: setattr(struct, name, list(values))
    if attrs.has(kind):
        write_value = _make_writer(kind)
        return lambda struct, value: write_value(struct.init(name), value)
    return lambda struct, value: setattr(struct, name, value)


def _make_list_writer(name: str, write_item: _Writer) -> _Writer:
    def write(struct: Any, values: Any) -> None:
        items = struct.init(name, len(values))
        for number, value in enumerate(values):
            write_item(items[number], value)

    return write


def _skip_odd_rows(write_list: _Writer) -> _Writer:
    """Return a function that writes a list without the rows that do not fit."""

    def write(struct: Any, values: Any) -> None:
        try:
            write_list(struct, values)
        except MessageError:
            write_list(struct, [value for value in values if _fits(value)])

    return write


def _fits(value: Any) -> bool:
    """Return whether messages can carry a row; log one that they cannot."""
    try:
        check_encodable(value)
    except MessageError as error:
        _log_skipped(value, str(error))
        return False
    return True


_logged_rows: set[tuple[str, str]] = set()


def _log_skipped(value: Any, detail: str) -> None:
    """Log a row that is not sent, once for each cause."""
    name = value
    while attrs.has(type(name)):
        # The first field names a row, or is the row itself.
        name = getattr(name, attrs.fields(type(name))[0].name)
    if (logged := (repr(name), detail)) in _logged_rows:
        return
    if len(_logged_rows) >= MAX_LOGGED_ROWS:
        _logged_rows.clear()
    _logged_rows.add(logged)
    kind = type(value).__name__
    events.log(events.ROW_NOT_SENT, kind=kind, name=repr(name), detail=detail)


def _collect_schemas(cls: type, schema: Any, schemas_by_class: dict[type, Any]) -> None:
    """Add the schemas of ``cls`` and of the classes of its fields."""
    schemas_by_class[cls] = schema
    for field in attrs.fields(cls):
        kind, name = field.type, camel_case(field.name)
        if get_origin(kind) in (list, tuple):
            item = get_args(kind)[0]
            if attrs.has(item):
                item_schema = schema.fields[name].schema.elementType
                _collect_schemas(item, item_schema, schemas_by_class)
        elif attrs.has(kind):
            _collect_schemas(kind, schema.fields[name].schema, schemas_by_class)


def independent_rows(**options: Any) -> Any:
    """Return a field of a message class whose rows do not depend on each other.

    A row that does not fit the schema is left out of a message, so that it does not
    keep back the others. For other lists the whole message is refused.

    Args:
        **options: Arguments of ``attrs.field``.
    """
    return attrs.field(metadata={INDEPENDENT: True}, **options)


def check_encodable(value: Any) -> None:
    """Check that messages can carry a value.

    Args:
        value: Instance of a message class, or of a class that messages consist of.

    Raises:
        MessageError: If a field does not fit its type in the schema.
    """
    cls: type = type(value)
    struct = capnp._MallocMessageBuilder().init_root(Codec.schemas_by_class[cls])
    _make_writer(cls)(struct, value)


def codec_of(message: Any) -> Codec:
    """Return the codec that encodes ``message``."""
    return Codec.codecs_by_class[type(message)]


def encode(message: Any) -> bytes:
    """Return the frame of ``message``: its channel byte and the encoded message.

    Raises:
        MessageError: If a value does not fit the schema.
    """
    codec = codec_of(message)
    return bytes((codec.channel,)) + codec.encode(message)


def decode(frame: bytes) -> Any:
    """Return the message in ``frame``; raises MessageError if it is malformed."""
    if not frame or frame[0] not in Codec.codecs_by_channel:
        raise MessageError("frame is empty or its channel is unknown")
    return Codec.codecs_by_channel[Channel(frame[0])].decode(frame[1:])
