"""What a Thrift message is made of, whatever its protocol.

Sources: Apache Thrift's "Thrift Remote Procedure Call", "Thrift Binary protocol encoding" and "Thrift Compact
protocol encoding"; type numbers are those of the binary protocol.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

STOP = 0
BOOL = 2
I8 = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11  # and binary: they are the same on the wire
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
UUID = 16

TYPE_NAMES = {
    BOOL: "bool",
    I8: "i8",
    DOUBLE: "double",
    I16: "i16",
    I32: "i32",
    I64: "i64",
    STRING: "string",
    STRUCT: "struct",
    MAP: "map",
    SET: "set",
    LIST: "list",
    UUID: "uuid",
}

MAX_DEPTH = 64  # structs and containers within one another
MAX_NAME = 512  # bytes of a method's name


class Form(Enum):
    """How a message is written; the two binary ones differ in their envelope only."""

    BINARY = "binary"
    OLD_BINARY = "old binary"
    COMPACT = "compact"

    @property
    def compact(self) -> bool:
        return self is Form.COMPACT


class MessageKind(IntEnum):
    """Message types of the specification."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class ExceptionKind(IntEnum):
    """Types of a `TApplicationException`. The last two are not in Apache's libraries, which pass them on as numbers;
    fbthrift names them so."""

    UNKNOWN = 0
    UNKNOWN_METHOD = 1
    INVALID_MESSAGE_TYPE = 2
    WRONG_METHOD_NAME = 3
    BAD_SEQUENCE_ID = 4
    MISSING_RESULT = 5
    INTERNAL_ERROR = 6
    PROTOCOL_ERROR = 7
    INVALID_TRANSFORM = 8
    INVALID_PROTOCOL = 9
    UNSUPPORTED_CLIENT_TYPE = 10
    LOADSHEDDING = 11
    TIMEOUT = 12


class ProtocolError(ValueError):
    """Bytes that are no message, or break a limit. The connection that they came on can't be read on."""


class IncompleteError(Exception):
    """More bytes are needed; nothing was taken of the step that lacks them."""


@dataclass(slots=True, frozen=True)
class Message:
    """One message. `body` is the struct of its arguments, its result or its exception, as it came."""

    form: Form
    kind: MessageKind
    name: bytes
    seqid: int  # signed, 32 bits
    body: bytes
