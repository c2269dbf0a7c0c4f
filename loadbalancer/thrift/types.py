"""Types and constants of Thrift messages that all protocols share.

Sources: Apache Thrift's "Thrift Remote Procedure Call", "Thrift Binary protocol encoding" and "Thrift Compact
protocol encoding". Type numbers are those of the binary protocol.
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
STRING = 11  # also `binary`, which has the same encoding
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

MAX_DEPTH = 64  # nesting depth of structs and containers
MAX_NAME_BYTES = 512  # of a method name


class Form(Enum):
    """The encoding of a message; the two binary encodings differ in the envelope only."""

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
    """Types of a `TApplicationException`. The last two are names of fbthrift; Apache's libraries don't define them and
    pass them on as numbers."""

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
    """The bytes are not a valid message or exceed a limit. Nothing more can be read from their connection."""


class IncompleteError(Exception):
    """More bytes are needed. The reader has consumed nothing of the incomplete item, so the step can be repeated."""


@dataclass(slots=True, frozen=True)
class Message:
    """One message. `body` is the encoded struct of the arguments, the result or the exception, as received."""

    form: Form
    kind: MessageKind
    name: bytes
    seqid: int  # signed, 32 bits
    body: bytes
