"""The closed list of error kinds, the exception of each kind, and the table from kind to HTTP response."""

from __future__ import annotations

from enum import Enum

import attrs


class ErrorKind(Enum):
    """Every kind of failure in the tier; the value is the kind's name in messages between nodes."""

    BAD_SETTINGS = "bad_settings"
    BAD_REQUEST = "bad_request"
    INVALID_CONFIGURATION = "invalid_configuration"
    VERSION_CONFLICT = "version_conflict"
    NO_ROUTE = "no_route"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    QUOTA_EXCEEDED = "quota_exceeded"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    IN_DOUBT = "in_doubt"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    PEER_UNAVAILABLE = "peer_unavailable"
    PEER_TIMEOUT = "peer_timeout"
    PROTOCOL_VIOLATION = "protocol_violation"
    NO_QUORUM = "no_quorum"
    FENCED = "fenced"
    NOT_OWNER = "not_owner"
    DISK_FAILED = "disk_failed"
    CORRUPT_RECORD = "corrupt_record"
    INTERNAL = "internal"


@attrs.frozen
class ErrorResponse:
    """The HTTP status for an error kind, and whether it promises that the request was not and will not be executed."""

    status: int
    promises_not_executed: bool


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_SETTINGS: ErrorResponse(500, False),
    ErrorKind.BAD_REQUEST: ErrorResponse(400, False),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(400, False),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(412, False),
    ErrorKind.NO_ROUTE: ErrorResponse(404, False),
    ErrorKind.NOT_FOUND: ErrorResponse(404, False),
    ErrorKind.CONFLICT: ErrorResponse(409, False),
    ErrorKind.TOO_LARGE: ErrorResponse(413, False),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, True),
    ErrorKind.OVERLOADED: ErrorResponse(503, True),
    ErrorKind.NOT_READY: ErrorResponse(503, True),
    ErrorKind.IN_DOUBT: ErrorResponse(504, False),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, False),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(504, False),
    ErrorKind.PEER_UNAVAILABLE: ErrorResponse(503, True),
    ErrorKind.PEER_TIMEOUT: ErrorResponse(504, False),
    ErrorKind.PROTOCOL_VIOLATION: ErrorResponse(502, False),
    ErrorKind.NO_QUORUM: ErrorResponse(504, False),
    ErrorKind.FENCED: ErrorResponse(504, False),
    ErrorKind.NOT_OWNER: ErrorResponse(503, True),
    ErrorKind.DISK_FAILED: ErrorResponse(504, False),
    ErrorKind.CORRUPT_RECORD: ErrorResponse(500, False),
    ErrorKind.INTERNAL: ErrorResponse(500, False),
}


class EmberringError(Exception):
    """The base class of the tier's errors: `kind` selects the HTTP response, `detail` is a one-line description."""

    kind = ErrorKind.INTERNAL

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail or self.kind.value)
        self.detail = detail

    @property
    def response(self) -> ErrorResponse:
        """The HTTP response for this error."""
        return ERROR_RESPONSES[self.kind]


class SettingsError(EmberringError):
    """The settings file is unreadable or invalid; `detail` names the file and every error in it."""

    kind = ErrorKind.BAD_SETTINGS


class BadRequestError(EmberringError):
    """A client's request is malformed."""

    kind = ErrorKind.BAD_REQUEST


class InvalidConfigurationError(EmberringError):
    """An operator's configuration is invalid; `mistakes` has a line for each error in it."""

    kind = ErrorKind.INVALID_CONFIGURATION

    def __init__(self, mistakes: tuple[str, ...]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


class VersionConflictError(EmberringError):
    """The version of the configuration that a change is based on is not the current one."""

    kind = ErrorKind.VERSION_CONFLICT


class NotFoundError(EmberringError):
    """The requested object does not exist; this is known for certain."""

    kind = ErrorKind.NOT_FOUND


class ConflictError(EmberringError):
    """The request cannot be carried out in the current state."""

    kind = ErrorKind.CONFLICT


class QuotaExceededError(EmberringError):
    """The job does not fit into its route's queue; no part of it is stored."""

    kind = ErrorKind.QUOTA_EXCEEDED


class OverloadedError(EmberringError):
    """Admission rejected the request before execution; the client may retry after `retry_after_s` seconds."""

    kind = ErrorKind.OVERLOADED

    def __init__(self, detail: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class NotReadyError(EmberringError):
    """The process cannot serve yet; nothing was executed."""

    kind = ErrorKind.NOT_READY


class UnknownOutcomeError(EmberringError):
    """The request may or may not have taken effect: neither success nor failure may be reported."""

    kind = ErrorKind.IN_DOUBT


class PeerError(EmberringError):
    """The base class of failures of calls between nodes."""

    kind = ErrorKind.PEER_UNAVAILABLE


class PeerUnavailableError(PeerError):
    """The call was not sent, so it had no effect."""

    kind = ErrorKind.PEER_UNAVAILABLE


class PeerTimeoutError(PeerError):
    """The call was sent but no reply arrived: it may have taken effect."""

    kind = ErrorKind.PEER_TIMEOUT


class ProtocolViolationError(PeerError):
    """A peer sent bytes that are not a valid message."""

    kind = ErrorKind.PROTOCOL_VIOLATION


class NoQuorumError(EmberringError):
    """Too few replicas replied: the request may or may not have taken effect."""

    kind = ErrorKind.NO_QUORUM


class FencedError(EmberringError):
    """The caller's fencing token is older than one that this node has already seen."""

    kind = ErrorKind.FENCED


class NotOwnerError(EmberringError):
    """The called node does not own the key; `detail` may contain the owner's address."""

    kind = ErrorKind.NOT_OWNER


class DiskFailedError(EmberringError):
    """The disk reported an error, or did not complete an operation in time."""

    kind = ErrorKind.DISK_FAILED


class CorruptRecordError(EmberringError):
    """A record on disk does not match its checksum."""

    kind = ErrorKind.CORRUPT_RECORD


class InternalError(EmberringError):
    """A defect of this program."""

    kind = ErrorKind.INTERNAL


def _classes_by_kind() -> dict[ErrorKind, type[EmberringError]]:
    """Return the class that `error_from_wire` instantiates for each kind, with only a detail."""
    class_by_kind: dict[ErrorKind, type[EmberringError]] = {}
    pending: list[type[EmberringError]] = list(EmberringError.__subclasses__())
    while pending:
        cls = pending.pop()
        if cls not in (InvalidConfigurationError, PeerError):
            class_by_kind[cls.kind] = cls
        pending.extend(cls.__subclasses__())
    return class_by_kind


_CLASS_OF_KIND = _classes_by_kind()


def error_from_wire(kind: str, detail: str) -> EmberringError:
    """Return the exception for an error that another node reported; an unknown kind becomes `InternalError`."""
    try:
        cls = _CLASS_OF_KIND[ErrorKind(kind)]
    except (ValueError, KeyError):
        return InternalError(f"{kind}: {detail}")
    return cls(detail)
