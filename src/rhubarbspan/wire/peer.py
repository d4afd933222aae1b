"""Encodes messages between instances as MessagePack arrays, without field names."""

import dataclasses
from typing import Annotated, Any, get_args, get_type_hints

import msgspec

from ..peer_messages import PeerMessage
from ..verdict import Failure

# The position of a type is its number on the wire, and fields are encoded by position:
# new types are appended, and new fields are appended with a default.
MESSAGE_TYPES: tuple[type[Any], ...] = get_args(PeerMessage)
NUMBER_BY_TYPE = {data_class: number for number, data_class in enumerate(MESSAGE_TYPES)}
MAX_MESSAGE_BYTES = 4_000_000
N_MAX_MESSAGES_PER_FRAME = 2000
# Times, rates and counts of peers stay far below it. The range also excludes infinity
# and NaN, with which systems could not compute.
MAX_NUMBER = 1e15
# Deep nesting exceeds the interpreter's recursion limit, even in fields that are
# skipped.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
_Frame = Annotated[list[bytes], msgspec.Meta(max_length=N_MAX_MESSAGES_PER_FRAME)]
_BoundedFloat = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


def _struct_of(data_class: type[Any], structs: dict[type[Any], type[Any]]) -> type[Any]:
    """Return a msgspec type that encodes a data class as an array of its fields.

    Args:
        data_class: Type of message, or of a field of one.
        structs: Types made so far, by data class; the new ones are added.
    """
    if data_class in structs:
        return structs[data_class]
    hints = get_type_hints(data_class)
    fields: list[tuple[str, Any, Any]] = []
    for item in dataclasses.fields(data_class):
        default: Any = msgspec.NODEFAULT
        if item.default is not dataclasses.MISSING:
            default = item.default
        elif item.default_factory is not dataclasses.MISSING:
            default = msgspec.field(default_factory=item.default_factory)
        fields.append(
            (item.name, _struct_annotation(hints[item.name], structs), default)
        )
    structs[data_class] = msgspec.defstruct(
        data_class.__name__,
        [(n, t) if d is msgspec.NODEFAULT else (n, t, d) for n, t, d in fields],
        array_like=True,
    )
    return structs[data_class]


def _struct_annotation(hint: Any, structs: dict[type[Any], type[Any]]) -> Any:
    """Replace data classes and floats in an annotation, also in generic types."""
    if hint is float:
        return _BoundedFloat
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return _struct_of(hint, structs)
    arguments = get_args(hint)
    if not arguments:
        return hint
    if getattr(hint, "__origin__", None) is list:
        return list[_struct_annotation(arguments[0], structs)]  # type: ignore[misc]
    if getattr(hint, "__origin__", None) is dict:
        keys, values = (_struct_annotation(item, structs) for item in arguments)
        return dict[keys, values]  # type: ignore[valid-type]
    if type(None) in arguments:
        return _struct_annotation(arguments[0], structs) | None
    return hint


_STRUCT_BY_TYPE: dict[type[Any], type[Any]] = {}
_STRUCTS = [_struct_of(data_class, _STRUCT_BY_TYPE) for data_class in MESSAGE_TYPES]
_DECODERS: list[msgspec.msgpack.Decoder[Any]] = [
    msgspec.msgpack.Decoder(struct) for struct in _STRUCTS
]
_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER: msgspec.msgpack.Decoder[list[bytes]] = msgspec.msgpack.Decoder(_Frame)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message.

    Example:
        >>> from rhubarbspan.peer_messages import SlotReturn
        >>> message = SlotReturn("a-1", 1, 2, [3])
        >>> decode_message(encode_message(message)) == message
        True
    """
    number = NUMBER_BY_TYPE[type(message)]
    row = msgspec.convert(message, _STRUCTS[number], from_attributes=True)
    return bytes([number]) + _ENCODER.encode(row)


def decode_message(data: bytes) -> PeerMessage | Failure:
    """Decode a message, or return a failure with the cause."""
    if not data or data[0] >= len(MESSAGE_TYPES):
        return Failure("unknown-message", "the message has an unknown type")
    number = data[0]
    try:
        row = _DECODERS[number].decode(data[1:])
        message: PeerMessage = msgspec.convert(
            row, MESSAGE_TYPES[number], from_attributes=True
        )
        return message
    except DECODE_ERRORS as error:
        return Failure("malformed-message", str(error))


def encode_frame(messages: list[bytes]) -> bytes:
    """Join encoded messages to one frame, at most ``N_MAX_MESSAGES_PER_FRAME``.

    Example:
        >>> decode_frame(encode_frame([b"a", b"bc"]))
        [b'a', b'bc']
    """
    return _ENCODER.encode(messages)


def decode_frame(data: bytes) -> list[bytes] | Failure:
    """Split a frame into its encoded messages."""
    try:
        return _FRAME_DECODER.decode(data)
    except DECODE_ERRORS as error:
        return Failure("malformed-frame", str(error))
