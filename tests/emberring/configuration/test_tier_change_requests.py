"""The outcomes of an operator's change on a state: accepted, repeated, or rejected."""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from emberring.configuration.change_requests import (
    Accepted,
    ChangeRequest,
    ChangeRequestKind,
    Rejected,
    evaluate,
    read_change_request,
)
from emberring.configuration.state import MAX_REMEMBERED_DIGESTS, ControlState
from emberring.errors import (
    BadRequestError,
    CorruptRecordError,
    InvalidConfigurationError,
    VersionConflictError,
)
from emberring.placement.model import Group, Placement, StoreMember


def route(name: str, timeout_ms: int = 4000, service: str = "s") -> dict[str, Any]:
    return {
        "Name": name,
        "Host": f"{name}.example",
        "PathPrefix": "/a/",
        "Type": "idempotent",
        "TimeoutMs": timeout_ms,
        "Service": service,
    }


def replacement(version: int, *routes: dict[str, Any], base: int = 0) -> ChangeRequest:
    document = {"Version": version, "Routes": list(routes), "Services": [{"Name": "s"}]}
    return read_change_request(ChangeRequestKind.REPLACE, str(base), json.dumps(document).encode())


def patch(version: int, base: int, **parts: Any) -> ChangeRequest:
    return read_change_request(
        ChangeRequestKind.PATCH, str(base), json.dumps({"Version": version, **parts}).encode()
    )


def accepted(state: ControlState, request: ChangeRequest) -> ControlState:
    outcome = evaluate(state, request)
    assert isinstance(outcome, Accepted), outcome
    return outcome.state


FIRST = accepted(ControlState(), replacement(5, route("one"), route("two")))


def test_the_first_change_is_accepted_and_kept_as_it_was_sent() -> None:
    body = b'{ "Version": 5, "Routes": [], "Services": [], "x": 1100000.0 }'
    state = accepted(ControlState(), read_change_request(ChangeRequestKind.REPLACE, "0", body))
    assert state.version == 5
    assert state.document == body


REJECTED = [
    (replacement(6), VersionConflictError),  # based on version 0
    (replacement(9, base=4), VersionConflictError),
    (replacement(9, base=6), VersionConflictError),
    (replacement(5, base=5), InvalidConfigurationError),
    (replacement(4, base=5), InvalidConfigurationError),
    # The current configuration, based on itself.
    (replacement(5, route("one"), route("two"), base=5), InvalidConfigurationError),
    (patch(9, 4), VersionConflictError),
    (patch(5, 5), InvalidConfigurationError),
    (patch(9, 5, Upsert={"Routes": [route("new", service="nobody")]}), InvalidConfigurationError),
    (patch(9, 5, Upsert={"Routes": [route("new", timeout_ms=0)]}), InvalidConfigurationError),
    (patch(9, 5, Upsert={"Routes": [route("one") | {"Name": "new"}]}), InvalidConfigurationError),
    (patch(9, 5, Upsert={"Routes": [{"Host": "x"}]}), InvalidConfigurationError),
    (patch(9, 5, Upsert={"Routes": [route("new"), route("new")]}), InvalidConfigurationError),
    (patch(9, 5, Upsert=[]), InvalidConfigurationError),
    (patch(9, 5, Upsert={"Routes": {}}), InvalidConfigurationError),
    (patch(9, 5, Remove={"Routes": "one"}), InvalidConfigurationError),
    (patch(9, 5, Remove={"Services": ["s"]}), InvalidConfigurationError),  # routes still use it
]


@pytest.mark.parametrize(("change", "error"), REJECTED, ids=range(len(REJECTED)))
def test_a_change_that_does_not_apply_to_the_state_is_rejected(
    change: ChangeRequest, error: type[Exception]
) -> None:
    outcome = evaluate(FIRST, change)
    assert isinstance(outcome, Rejected)
    assert isinstance(outcome.error, error)


PATCHES: list[tuple[dict[str, Any], list[tuple[str, int]]]] = [
    ({}, [("one", 4000), ("two", 4000)]),
    ({"Upsert": {"Routes": [route("two", 7)]}}, [("one", 4000), ("two", 7)]),
    ({"Upsert": {"Routes": [route("new", 7), route("one", 8)]}}, [("one", 8), ("two", 4000), ("new", 7)]),
    ({"Remove": {"Routes": ["one", "never-there"]}}, [("two", 4000)]),
    ({"Remove": {"Routes": ["one"]}, "Upsert": {"Routes": [route("new", 7)]}}, [("two", 4000), ("new", 7)]),
    ({"Upsert": None, "Remove": {}}, [("one", 4000), ("two", 4000)]),
    (
        {"Upsert": {"Services": [{"Name": "t"}], "Routes": [route("new", 7, "t")]}},
        [("one", 4000), ("two", 4000), ("new", 7)],
    ),
]


@pytest.mark.parametrize(("parts", "expected"), PATCHES, ids=range(len(PATCHES)))
def test_a_patch_changes_named_items_alone(parts: dict[str, Any], expected: list[tuple[str, int]]) -> None:
    document = json.loads(accepted(FIRST, patch(9, 5, **parts)).document)
    assert document["Version"] == 9
    assert [(item["Name"], item["TimeoutMs"]) for item in document["Routes"]] == expected
    assert document["Services"][0] == {"Name": "s"}


def test_a_patch_may_replace_a_route_under_another_name() -> None:
    moved = route("one") | {"Name": "successor"}
    state = accepted(FIRST, patch(9, 5, Remove={"Routes": ["one"]}, Upsert={"Routes": [moved]}))
    assert [item["Name"] for item in json.loads(state.document)["Routes"]] == ["two", "successor"]


@pytest.mark.parametrize("if_match", [None, "", "x", "-1", "1.5", "²", "9" * 30])
def test_a_change_without_a_readable_base_version_is_rejected(if_match: str | None) -> None:
    with pytest.raises(BadRequestError):
        read_change_request(ChangeRequestKind.REPLACE, if_match, b'{"Version":1}')


def test_a_base_version_may_be_quoted() -> None:
    assert read_change_request(ChangeRequestKind.REPLACE, ' "12" ', b'{"Version":13}').base_version == 12


def test_the_digest_ignores_spelling_and_depends_on_the_base_version() -> None:
    one = read_change_request(ChangeRequestKind.REPLACE, "0", b'{"Version":1,"Routes":[]}')
    two = read_change_request(ChangeRequestKind.REPLACE, "0", b'{ "Routes" : [], "Version": 1 }')
    assert one.digest == two.digest
    assert (
        read_change_request(ChangeRequestKind.REPLACE, "1", b'{"Version":1,"Routes":[]}').digest != one.digest
    )
    assert (
        read_change_request(ChangeRequestKind.PATCH, "0", b'{"Version":1,"Routes":[]}').digest != one.digest
    )


def test_a_repeated_change_is_recognised_hundreds_of_changes_later_and_after_a_restart() -> None:
    state, requests = ControlState(), []
    for number in range(1, 801):
        request = replacement(number * 3, route(f"r{number}"), base=state.version)
        requests.append(request)
        state = accepted(state, request)
    state = ControlState.decode(state.encode())
    for request in requests:
        assert evaluate(state, request) == Accepted(state, is_repeat=True)
    assert state.version == 2400


def test_the_number_of_stored_digests_is_bounded() -> None:
    state = ControlState(
        accepted_digests=tuple(number.to_bytes(16, "big") for number in range(MAX_REMEMBERED_DIGESTS))
    )
    state = accepted(state, replacement(1))
    assert len(state.accepted_digests) == MAX_REMEMBERED_DIGESTS
    assert state.accepted_digests[0] == (1).to_bytes(16, "big")


PLACEMENT = Placement(
    epoch=4,
    stores={"id-1": StoreMember("id-1", "store-1", "10.0.0.1:7000", "zone")},
    groups=(Group(0, 2, ("id-1",), ("id-1", "id-2")),),
    retiring=("store-1",),
)


@pytest.mark.parametrize("state", [ControlState(), FIRST, attrs.evolve(FIRST, placement=PLACEMENT)])
def test_a_state_is_the_same_after_encoding_and_decoding(state: ControlState) -> None:
    assert ControlState.decode(state.encode()) == state


@pytest.mark.parametrize("value", [b"other", FIRST.encode()[:-1], FIRST.encode() + b"x"])
def test_bytes_that_are_no_state_raise_an_error(value: bytes) -> None:
    with pytest.raises(CorruptRecordError):
        ControlState.decode(value)


def test_no_value_decodes_to_the_initial_state() -> None:
    assert ControlState.decode(None) == ControlState()
    assert ControlState.decode(b"") == ControlState()


class OperatorMachine(RuleBasedStateMachine):
    """Changes of operators, also repeated, compared with a simple model of the accepted ones."""

    def __init__(self) -> None:
        super().__init__()
        self.state = ControlState()
        self.accepted_requests: list[ChangeRequest] = []
        self.sent: list[ChangeRequest] = []
        self.rejected: list[ChangeRequest] = []

    @initialize()
    def begin(self) -> None:
        self.send(replacement(1, route("one")))

    def send(self, request: ChangeRequest) -> None:
        outcome = evaluate(self.state, request)
        self.sent.append(request)
        if request in self.accepted_requests:
            assert outcome == Accepted(self.state, is_repeat=True)
        elif isinstance(outcome, Accepted):
            assert not outcome.is_repeat
            assert request.base_version == self.state.version
            assert request.version > request.base_version
            self.state = outcome.state
            self.accepted_requests.append(request)
        else:
            assert request.base_version != self.state.version or request.version <= self.state.version
            self.rejected.append(request)

    @rule(
        step=st.integers(-1, 3),
        back=st.integers(0, 2),
        name=st.sampled_from("abc"),
        timeout=st.integers(1, 3),
    )
    def change(self, step: int, back: int, name: str, timeout: int) -> None:
        bases = [0, *(request.version for request in self.accepted_requests)]
        base = bases[max(0, len(bases) - 1 - back)]
        self.send(patch(max(0, base + step), base, Upsert={"Routes": [route(name, timeout)]}))

    @rule(pick=st.integers(0, 1000))
    def send_again(self, pick: int) -> None:
        self.send(self.sent[pick % len(self.sent)])

    @rule()
    def restart(self) -> None:
        self.state = ControlState.decode(self.state.encode())

    @invariant()
    def current_is_the_newest_accepted(self) -> None:
        if self.accepted_requests:
            assert self.state.version == self.accepted_requests[-1].version
            versions = [request.version for request in self.accepted_requests]
            assert versions == sorted(set(versions))
            assert [request.base_version for request in self.accepted_requests] == [0, *versions[:-1]]


TestOperatorMachine = OperatorMachine.TestCase
TestOperatorMachine.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)
