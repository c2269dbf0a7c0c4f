"""What operators and followers of a simulated control plane saw, and whether one register could have shown it."""

from __future__ import annotations

import math

import attrs

from emberring.configuration.state import ControlState
from emberring.simulation.register.history import History

TAKEN = 200
REFUSED = frozenset({400, 409, 412})


@attrs.define(eq=False)
class OrderSeen:
    """One order of the operator, all its sends together. `digest` is what the register keeps of it. Times in s."""

    number: int
    base: int
    version: int
    digest: bytes
    sent_s: float
    ended_s: float | None = None
    status: int = 0  # of its last answer; 0: none, or none that was clear

    def __str__(self) -> str:
        return f"order {self.number} (version {self.version} on {self.base})"


@attrs.define(eq=False)
class InForce:
    """A version that was taken: by which digest, and when it was first proved to be in force."""

    version: int
    digest: bytes
    proved_s: float


class ControlHistory(History):
    """All that was seen. `mistakes` has what no register could have shown."""

    def __init__(self) -> None:
        super().__init__()
        self.orders: list[OrderSeen] = []
        self.chain: dict[int, InForce] = {}
        self._by_digest: dict[bytes, OrderSeen] = {}
        self._newest_acknowledged: list[tuple[float, int]] = [
            (0.0, 0)
        ]  # when, and the newest version proved by then

    def wrong(self, text: str) -> None:
        """Note a mistake, once."""
        if text not in self.mistakes:
            self.mistakes.append(text)

    # The register's value.

    def state_learned(self, now_s: float, where: str, state: ControlState, before: int) -> None:
        """A node was told this state after one of version `before` in the same life."""
        if state.version < before:
            self.wrong(f"{where} was told version {state.version} after {before}")
        for digest in state.accepted_digests:
            order = self._by_digest.get(digest)
            if order is None:
                self.wrong(f"{where} was told a state with a change that nobody ordered")
            else:
                self._prove(now_s, where, order.version, digest)
        newest = self._by_digest.get(state.accepted_digests[-1]) if state.accepted_digests else None
        if newest is not None and newest.version != state.version:
            self.wrong(f"{where} was told version {state.version}, whose last change made {newest.version}")

    def _prove(self, now_s: float, where: str, version: int, digest: bytes) -> None:
        known = self.chain.setdefault(version, InForce(version, digest, now_s))
        if known.digest != digest:
            self.wrong(f"{where}: version {version} is two configurations")

    def _proved_before(self, at_s: float) -> int:
        """The newest version that was acknowledged, or read, before this time."""
        return max(version for ended_s, version in self._newest_acknowledged if ended_s < at_s)

    def _note_proof(self, now_s: float, version: int) -> None:
        self._newest_acknowledged.append((now_s, max(version, self._newest_acknowledged[-1][1])))

    # Orders.

    def order_sent(self, order: OrderSeen) -> None:
        """An order was sent for the first time."""
        self.orders.append(order)
        self._by_digest.setdefault(order.digest, order)

    def order_taken(self, now_s: float, order: OrderSeen) -> None:
        """It was answered 200."""
        order.ended_s, order.status = now_s, TAKEN
        for other in self.orders:
            if other is order or other.status != TAKEN or other.digest == order.digest:
                continue
            if other.version == order.version or other.base == order.base:
                self.wrong(f"{order} and {other} were both acknowledged")
        self._prove(now_s, f"the answer to {order}", order.version, order.digest)
        self._note_proof(now_s, order.version)

    def order_refused(self, now_s: float, order: OrderSeen, status: int) -> None:
        """It was answered 400, 409 or 412."""
        order.ended_s, order.status = now_s, status

    # Reads.

    def read(self, sent_s: float, now_s: float, where: str, version: int, mark: int) -> None:
        """A read that was sent at `sent_s` was answered with this version, and the mark of the order that made it."""
        least = self._proved_before(sent_s)
        if version < least:
            self.wrong(
                f"{where}, asked at {sent_s:.3f} s, answered version {version} where {least} was proved"
            )
        makers = {order.number for order in self.orders if order.version == version}
        if version and mark not in makers:
            self.wrong(f"{where} answered version {version} with what order {mark} said")
        self._note_proof(now_s, version)

    # Followers.

    def followed(self, now_s: float, who: str, before: int, version: int, mark: int) -> None:
        """A follower's configuration changed."""
        if version < before:
            self.wrong(f"{who} went back from version {before} to {version}")
        makers = {order.number for order in self.orders if order.version == version}
        if mark not in makers:
            self.wrong(f"{who} has version {version} with what order {mark} said")

    # The end.

    def finish(self) -> list[str]:
        """All mistakes, once nothing happens any more."""
        taken = {entry.digest for entry in self.chain.values()}
        for order in self.orders:
            if order.status in REFUSED:
                self._check_refusal(order, taken)
        self._check_chain()
        return self.mistakes

    def _check_refusal(self, order: OrderSeen, taken: set[bytes]) -> None:
        if order.digest in taken:
            self.wrong(f"{order} was refused with {order.status}, yet it was taken")
            return
        assert order.ended_s is not None
        if order.version <= order.base or self._could_differ(order.base, order.sent_s, order.ended_s):
            return
        self.wrong(
            f"{order} was refused with {order.status} while its base was in force, "
            f"sent at {order.sent_s:.3f} s, answered at {order.ended_s:.3f} s"
        )

    def _could_differ(self, base: int, from_s: float, until_s: float) -> bool:
        """Whether another version than this may have been in force at some time between these two."""
        ordered = sorted(self.chain.values(), key=lambda entry: entry.version)
        # An older one was in force until a newer one was chosen, which was at the latest when it was proved.
        proved_s = min((entry.proved_s for entry in ordered if entry.version >= base), default=math.inf)
        if base and (base not in self.chain or proved_s >= from_s):
            return True
        for entry in ordered:
            if entry.version <= base:
                continue
            sent_s = min(order.sent_s for order in self.orders if order.digest == entry.digest)
            if sent_s <= until_s:
                return True
        return False

    def _check_chain(self) -> None:
        """Each version builds on the one before it."""
        before = 0
        for version in sorted(self.chain):
            digest = self.chain[version].digest
            bases = {order.base for order in self.orders if order.digest == digest}
            if before not in bases:
                self.wrong(f"version {version} was made on {sorted(bases)}, after {before}")
            before = version
