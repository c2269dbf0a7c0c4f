"""The closed list of errors: every kind has a response, and every class keeps its kind between nodes."""

from __future__ import annotations

import pytest

from emberring import errors
from emberring.errors import ERROR_RESPONSES, EmberringError, ErrorKind, InternalError, error_from_wire

STATUSES_THAT_PROMISE = {429, 503}


def classes() -> list[type[EmberringError]]:
    found: list[type[EmberringError]] = []
    pending: list[type[EmberringError]] = [EmberringError]
    while pending:
        cls = pending.pop()
        found.append(cls)
        pending += cls.__subclasses__()
    return sorted(found, key=lambda cls: cls.__name__)


def make(cls: type[EmberringError]) -> EmberringError:
    if cls is errors.InvalidConfigurationError:
        return cls(("one", "two"))
    return cls("detail")


@pytest.mark.parametrize("kind", ErrorKind, ids=lambda kind: kind.value)
def test_every_kind_has_a_response(kind):
    assert 400 <= ERROR_RESPONSES[kind].status < 600


@pytest.mark.parametrize("kind", ErrorKind, ids=lambda kind: kind.value)
def test_only_statuses_429_and_503_promise_that_nothing_was_executed(kind):
    response = ERROR_RESPONSES[kind]
    assert response.promises_not_executed == (response.status in STATUSES_THAT_PROMISE)


@pytest.mark.parametrize("kind", [ErrorKind.IN_DOUBT, ErrorKind.PEER_TIMEOUT, ErrorKind.NO_QUORUM])
def test_an_unknown_outcome_makes_no_promise(kind):
    assert ERROR_RESPONSES[kind].status in (502, 504)


@pytest.mark.parametrize("cls", classes(), ids=lambda cls: cls.__name__)
def test_an_error_has_its_kind_detail_and_response(cls):
    error = make(cls)
    assert isinstance(error.kind, ErrorKind)
    assert error.detail
    assert error.detail in str(error)
    assert error.response is ERROR_RESPONSES[error.kind]


@pytest.mark.parametrize("cls", classes(), ids=lambda cls: cls.__name__)
def test_an_error_keeps_its_kind_over_the_wire(cls):
    error = make(cls)
    decoded = error_from_wire(error.kind.value, error.detail)
    if decoded.kind is not error.kind:
        assert cls in (errors.InvalidConfigurationError,)
    assert error.detail in decoded.detail


@pytest.mark.parametrize(
    ("kind", "cls"),
    [
        ("fenced", errors.FencedError),
        ("not_owner", errors.NotOwnerError),
        ("peer_unavailable", errors.PeerUnavailableError),
        ("peer_timeout", errors.PeerTimeoutError),
        ("quota_exceeded", errors.QuotaExceededError),
        ("in_doubt", errors.UnknownOutcomeError),
        ("nonsense", InternalError),
        ("", InternalError),
    ],
)
def test_kinds_on_the_wire(kind, cls):
    assert type(error_from_wire(kind, "x")) is cls


def test_each_kind_has_one_class():
    by_kind: dict[ErrorKind, list[str]] = {}
    for cls in classes():
        if cls not in (EmberringError, errors.PeerError):
            by_kind.setdefault(cls.kind, []).append(cls.__name__)
    assert {kind: names for kind, names in by_kind.items() if len(names) > 1} == {}
