"""The closed list of error kinds, the exceptions that carry them, and the table from kind to HTTP answer."""

from __future__ import annotations

from enum import Enum

import attrs


class ErrorKind(Enum):
    """Every way in which a part of the tier may fail; the value is what stands on the wire between nodes."""

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
class Answer:
    """The HTTP status for an error kind, and whether that status promises that nothing has run or will run."""

    status: int
    promises_not_executed: bool


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_SETTINGS: Answer(500, False),
    ErrorKind.BAD_REQUEST: Answer(400, False),
    ErrorKind.INVALID_CONFIGURATION: Answer(400, False),
    ErrorKind.VERSION_CONFLICT: Answer(412, False),
    ErrorKind.NO_ROUTE: Answer(404, False),
    ErrorKind.NOT_FOUND: Answer(404, False),
    ErrorKind.CONFLICT: Answer(409, False),
    ErrorKind.TOO_LARGE: Answer(413, False),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, True),
    ErrorKind.OVERLOADED: Answer(503, True),
    ErrorKind.NOT_READY: Answer(503, True),
    ErrorKind.IN_DOUBT: Answer(504, False),
    ErrorKind.UPSTREAM_FAILED: Answer(502, False),
    ErrorKind.UPSTREAM_TIMEOUT: Answer(504, False),
    ErrorKind.PEER_UNAVAILABLE: Answer(503, True),
    ErrorKind.PEER_TIMEOUT: Answer(504, False),
    ErrorKind.PROTOCOL_VIOLATION: Answer(502, False),
    ErrorKind.NO_QUORUM: Answer(504, False),
    ErrorKind.FENCED: Answer(504, False),
    ErrorKind.NOT_OWNER: Answer(503, True),
    ErrorKind.DISK_FAILED: Answer(504, False),
    ErrorKind.CORRUPT_RECORD: Answer(500, False),
    ErrorKind.INTERNAL: Answer(500, False),
}


class EmberringError(Exception):
    """The root of the exception tree; `kind` decides the answer, `detail` is one line for a person."""

    kind = ErrorKind.INTERNAL

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail or self.kind.value)
        self.detail = detail

    @property
    def answer(self) -> Answer:
        """The HTTP answer for this error."""
        return ANSWERS[self.kind]


class SettingsError(EmberringError):
    """The settings file cannot be used; `detail` names the file and every mistake."""

    kind = ErrorKind.BAD_SETTINGS


class BadRequestError(EmberringError):
    """A caller's request cannot be read."""

    kind = ErrorKind.BAD_REQUEST


class InvalidConfigurationError(EmberringError):
    """An operator's configuration is invalid; `mistakes` has all of them."""

    kind = ErrorKind.INVALID_CONFIGURATION

    def __init__(self, mistakes: tuple[str, ...]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


class VersionConflictError(EmberringError):
    """Another version of the configuration is current."""

    kind = ErrorKind.VERSION_CONFLICT


class NotFoundError(EmberringError):
    """The thing asked for certainly does not exist."""

    kind = ErrorKind.NOT_FOUND


class ConflictError(EmberringError):
    """The order cannot be carried out in the present state."""

    kind = ErrorKind.CONFLICT


class QuotaExceededError(EmberringError):
    """The lot does not fit into its route's queue; nothing of it is kept."""

    kind = ErrorKind.QUOTA_EXCEEDED


class OverloadedError(EmberringError):
    """Refused by admission before anything ran; `retry_after_s` is when to come back (seconds)."""

    kind = ErrorKind.OVERLOADED

    def __init__(self, detail: str = "", retry_after_s: float = 0.0) -> None:
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class NotReadyError(EmberringError):
    """This process cannot serve yet; nothing was done."""

    kind = ErrorKind.NOT_READY


class UnknownOutcomeError(EmberringError):
    """The effect may or may not have taken place; no promise is made."""

    kind = ErrorKind.IN_DOUBT


class PeerError(EmberringError):
    """The root of failures of calls between nodes."""

    kind = ErrorKind.PEER_UNAVAILABLE


class PeerUnavailableError(PeerError):
    """The call never left this node: the effect did not take place."""

    kind = ErrorKind.PEER_UNAVAILABLE


class PeerTimeoutError(PeerError):
    """The call was sent and no reply came: the effect may have taken place."""

    kind = ErrorKind.PEER_TIMEOUT


class ProtocolViolationError(PeerError):
    """A peer sent bytes that are no message."""

    kind = ErrorKind.PROTOCOL_VIOLATION


class NoQuorumError(EmberringError):
    """Too few replicas answered; the effect may or may not have taken place."""

    kind = ErrorKind.NO_QUORUM


class FencedError(EmberringError):
    """The caller's fencing token is older than one already seen."""

    kind = ErrorKind.FENCED


class NotOwnerError(EmberringError):
    """The node asked does not own the key; `detail` may hold the owner's address."""

    kind = ErrorKind.NOT_OWNER


class DiskFailedError(EmberringError):
    """The disk refused or did not answer."""

    kind = ErrorKind.DISK_FAILED


class CorruptRecordError(EmberringError):
    """A record on disk does not match its checksum."""

    kind = ErrorKind.CORRUPT_RECORD


class InternalError(EmberringError):
    """A fault of this program."""

    kind = ErrorKind.INTERNAL


def _plain_classes() -> dict[ErrorKind, type[EmberringError]]:
    found: dict[ErrorKind, type[EmberringError]] = {}
    pending: list[type[EmberringError]] = list(EmberringError.__subclasses__())
    while pending:
        cls = pending.pop()
        if cls not in (InvalidConfigurationError, PeerError):
            found[cls.kind] = cls
        pending.extend(cls.__subclasses__())
    return found


_CLASS_OF_KIND = _plain_classes()


def error_from_wire(kind: str, detail: str) -> EmberringError:
    """The exception for an error that another node reported; an unknown kind becomes `InternalError`."""
    try:
        cls = _CLASS_OF_KIND[ErrorKind(kind)]
    except (ValueError, KeyError):
        return InternalError(f"{kind}: {detail}")
    return cls(detail)
