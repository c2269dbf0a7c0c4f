"""What becomes of an operator's order on a state: taken, taken before, or refused."""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from emberring.configuration.change_requests import (
    ChangeRequest,
    ChangeRequestKind,
    Refused,
    Taken,
    judge,
    read_change_request,
)
from emberring.configuration.state import MOST_TAKEN, ControlState
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


def whole(version: int, *routes: dict[str, Any], base: int = 0) -> ChangeRequest:
    document = {"Version": version, "Routes": list(routes), "Services": [{"Name": "s"}]}
    return read_change_request(ChangeRequestKind.WHOLE, str(base), json.dumps(document).encode())


def patch(version: int, base: int, **parts: Any) -> ChangeRequest:
    return read_change_request(
        ChangeRequestKind.PATCH, str(base), json.dumps({"Version": version, **parts}).encode()
    )


def taken(state: ControlState, order: ChangeRequest) -> ControlState:
    outcome = judge(state, order)
    assert isinstance(outcome, Taken), outcome
    return outcome.state


FIRST = taken(ControlState(), whole(5, route("one"), route("two")))


def test_the_first_order_is_taken_and_stands_as_it_was_sent() -> None:
    body = b'{ "Version": 5, "Routes": [], "Services": [], "x": 1100000.0 }'
    state = taken(ControlState(), read_change_request(ChangeRequestKind.WHOLE, "0", body))
    assert state.version == 5
    assert state.document == body


REFUSED = [
    (whole(6), VersionConflictError),  # on 0, as if there were no version yet
    (whole(9, base=4), VersionConflictError),
    (whole(9, base=6), VersionConflictError),
    (whole(5, base=5), InvalidConfigurationError),
    (whole(4, base=5), InvalidConfigurationError),
    (whole(5, route("one"), route("two"), base=5), InvalidConfigurationError),  # the current one on itself
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
    (patch(9, 5, Remove={"Services": ["s"]}), InvalidConfigurationError),  # routes name it still
]


@pytest.mark.parametrize(("order", "error"), REFUSED, ids=range(len(REFUSED)))
def test_an_order_that_does_not_fit_is_refused(order: ChangeRequest, error: type[Exception]) -> None:
    outcome = judge(FIRST, order)
    assert isinstance(outcome, Refused)
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


@pytest.mark.parametrize(("parts", "wanted"), PATCHES, ids=range(len(PATCHES)))
def test_a_patch_changes_named_items_alone(parts: dict[str, Any], wanted: list[tuple[str, int]]) -> None:
    document = json.loads(taken(FIRST, patch(9, 5, **parts)).document)
    assert document["Version"] == 9
    assert [(item["Name"], item["TimeoutMs"]) for item in document["Routes"]] == wanted
    assert document["Services"][0] == {"Name": "s"}


def test_a_patch_frees_a_place_for_another_route() -> None:
    moved = route("one") | {"Name": "successor"}
    state = taken(FIRST, patch(9, 5, Remove={"Routes": ["one"]}, Upsert={"Routes": [moved]}))
    assert [item["Name"] for item in json.loads(state.document)["Routes"]] == ["two", "successor"]


@pytest.mark.parametrize("if_match", [None, "", "x", "-1", "1.5", "²", "9" * 30])
def test_an_order_without_a_readable_base_is_refused(if_match: str | None) -> None:
    with pytest.raises(BadRequestError):
        read_change_request(ChangeRequestKind.WHOLE, if_match, b'{"Version":1}')


def test_a_base_may_stand_in_quotes() -> None:
    assert read_change_request(ChangeRequestKind.WHOLE, ' "12" ', b'{"Version":13}').base == 12


def test_the_same_change_is_the_same_in_another_spelling_and_another_on_another_base() -> None:
    one = read_change_request(ChangeRequestKind.WHOLE, "0", b'{"Version":1,"Routes":[]}')
    two = read_change_request(ChangeRequestKind.WHOLE, "0", b'{ "Routes" : [], "Version": 1 }')
    assert one.digest == two.digest
    assert (
        read_change_request(ChangeRequestKind.WHOLE, "1", b'{"Version":1,"Routes":[]}').digest != one.digest
    )
    assert (
        read_change_request(ChangeRequestKind.PATCH, "0", b'{"Version":1,"Routes":[]}').digest != one.digest
    )


def test_a_change_is_known_hundreds_of_changes_later_and_after_a_restart() -> None:
    state, orders = ControlState(), []
    for number in range(1, 801):
        order = whole(number * 3, route(f"r{number}"), base=state.version)
        orders.append(order)
        state = taken(state, order)
    state = ControlState.decode(state.encode())
    for order in orders:
        assert judge(state, order) == Taken(state, again=True)
    assert state.version == 2400


def test_the_digests_kept_are_bounded() -> None:
    state = ControlState(taken=tuple(number.to_bytes(16, "big") for number in range(MOST_TAKEN)))
    state = taken(state, whole(1))
    assert len(state.taken) == MOST_TAKEN
    assert state.taken[0] == (1).to_bytes(16, "big")


PLACEMENT = Placement(
    epoch=4,
    stores={"id-1": StoreMember("id-1", "store-1", "10.0.0.1:7000", "zone")},
    groups=(Group(0, 2, ("id-1",), ("id-1", "id-2")),),
    retiring=("store-1",),
)


@pytest.mark.parametrize("state", [ControlState(), FIRST, attrs.evolve(FIRST, placement=PLACEMENT)])
def test_a_state_survives_its_encoding(state: ControlState) -> None:
    assert ControlState.decode(state.encode()) == state


@pytest.mark.parametrize("value", [b"other", FIRST.encode()[:-1], FIRST.encode() + b"x"])
def test_bytes_that_are_no_state_are_told(value: bytes) -> None:
    with pytest.raises(CorruptRecordError):
        ControlState.decode(value)


def test_no_value_is_the_first_state() -> None:
    assert ControlState.decode(None) == ControlState()
    assert ControlState.decode(b"") == ControlState()


class OperatorMachine(RuleBasedStateMachine):
    """Orders that come again and again, from two operators, beside a plain model of what was taken."""

    def __init__(self) -> None:
        super().__init__()
        self.state = ControlState()
        self.accepted: list[ChangeRequest] = []
        self.sent: list[ChangeRequest] = []
        self.refused: list[ChangeRequest] = []

    @initialize()
    def begin(self) -> None:
        self.send(whole(1, route("one")))

    def send(self, order: ChangeRequest) -> None:
        outcome = judge(self.state, order)
        self.sent.append(order)
        if order in self.accepted:
            assert outcome == Taken(self.state, again=True)
        elif isinstance(outcome, Taken):
            assert not outcome.again
            assert order.base == self.state.version
            assert order.version > order.base
            self.state = outcome.state
            self.accepted.append(order)
        else:
            assert order.base != self.state.version or order.version <= self.state.version
            self.refused.append(order)

    @rule(
        step=st.integers(-1, 3),
        back=st.integers(0, 2),
        name=st.sampled_from("abc"),
        timeout=st.integers(1, 3),
    )
    def change(self, step: int, back: int, name: str, timeout: int) -> None:
        bases = [0, *(order.version for order in self.accepted)]
        base = bases[max(0, len(bases) - 1 - back)]
        self.send(patch(max(0, base + step), base, Upsert={"Routes": [route(name, timeout)]}))

    @rule(pick=st.integers(0, 1000))
    def send_again(self, pick: int) -> None:
        self.send(self.sent[pick % len(self.sent)])

    @rule()
    def restart(self) -> None:
        self.state = ControlState.decode(self.state.encode())

    @invariant()
    def current_is_the_newest_taken(self) -> None:
        if self.accepted:
            assert self.state.version == self.accepted[-1].version
            versions = [order.version for order in self.accepted]
            assert versions == sorted(set(versions))
            assert [order.base for order in self.accepted] == [0, *versions[:-1]]


TestOperatorMachine = OperatorMachine.TestCase
TestOperatorMachine.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)
