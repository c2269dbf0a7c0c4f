"""What clients and followers of a simulated control plane observed, and whether a linearizable register allows it."""

from __future__ import annotations

import math

import attrs

from emberring.configuration.state import ControlState
from emberring.simulation.register.history import History

ACCEPTED = 200
REJECTED = frozenset({400, 409, 412})


@attrs.define(eq=False)
class ObservedRequest:
    """One request of an operator, with all its retries. `digest` is what the register keeps of it. Times in s."""

    number: int
    base: int
    version: int
    digest: bytes
    sent_s: float
    ended_s: float | None = None
    status: int = 0  # of its last answer; 0 where the outcome is unknown

    def __str__(self) -> str:
        return f"order {self.number} (version {self.version} on {self.base})"


@attrs.define(eq=False)
class VersionInForce:
    """An accepted version: the digest that made it, and when it was first proven to be in force (s)."""

    version: int
    digest: bytes
    proved_s: float


class ControlHistory(History):
    """All observations, and in `violations` what was found wrong with them."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[ObservedRequest] = []
        self.chain: dict[int, VersionInForce] = {}
        self._by_digest: dict[bytes, ObservedRequest] = {}
        self._newest_acknowledged: list[tuple[float, int]] = [
            (0.0, 0)
        ]  # when, and the newest version proved by then

    def wrong(self, text: str) -> None:
        """Record a violation, once."""
        if text not in self.violations:
            self.violations.append(text)

    # The register's value.

    def state_learned(self, now_s: float, where: str, state: ControlState, before: int) -> None:
        """A node learned this state after one of version `before` in the same incarnation."""
        if state.version < before:
            self.wrong(f"{where} was told version {state.version} after {before}")
        for digest in state.accepted_digests:
            request = self._by_digest.get(digest)
            if request is None:
                self.wrong(f"{where} was told a state with a change that nobody ordered")
            else:
                self._prove(now_s, where, request.version, digest)
        newest = self._by_digest.get(state.accepted_digests[-1]) if state.accepted_digests else None
        if newest is not None and newest.version != state.version:
            self.wrong(f"{where} was told version {state.version}, whose last change made {newest.version}")

    def _prove(self, now_s: float, where: str, version: int, digest: bytes) -> None:
        known = self.chain.setdefault(version, VersionInForce(version, digest, now_s))
        if known.digest != digest:
            self.wrong(f"{where}: version {version} is two configurations")

    def _proven_before(self, at_s: float) -> int:
        """The newest version that was acknowledged or read before this time."""
        return max(version for ended_s, version in self._newest_acknowledged if ended_s < at_s)

    def _note_proof(self, now_s: float, version: int) -> None:
        self._newest_acknowledged.append((now_s, max(version, self._newest_acknowledged[-1][1])))

    # Requests.

    def request_sent(self, request: ObservedRequest) -> None:
        """A request was sent for the first time."""
        self.requests.append(request)
        self._by_digest.setdefault(request.digest, request)

    def request_accepted(self, now_s: float, request: ObservedRequest) -> None:
        """A request was answered with 200."""
        request.ended_s, request.status = now_s, ACCEPTED
        for other in self.requests:
            if other is request or other.status != ACCEPTED or other.digest == request.digest:
                continue
            if other.version == request.version or other.base == request.base:
                self.wrong(f"{request} and {other} were both acknowledged")
        self._prove(now_s, f"the answer to {request}", request.version, request.digest)
        self._note_proof(now_s, request.version)

    def request_rejected(self, now_s: float, request: ObservedRequest, status: int) -> None:
        """A request was answered with 400, 409 or 412."""
        request.ended_s, request.status = now_s, status

    # Reads.

    def read(self, sent_s: float, now_s: float, where: str, version: int, mark: int) -> None:
        """A read that was sent at `sent_s` was answered with this version, and the mark of the order that made it."""
        least = self._proven_before(sent_s)
        if version < least:
            self.wrong(
                f"{where}, asked at {sent_s:.3f} s, answered version {version} where {least} was proved"
            )
        makers = {request.number for request in self.requests if request.version == version}
        if version and mark not in makers:
            self.wrong(f"{where} answered version {version} with what order {mark} said")
        self._note_proof(now_s, version)

    # Followers.

    def followed(self, now_s: float, who: str, before: int, version: int, mark: int) -> None:
        """A follower's configuration changed."""
        if version < before:
            self.wrong(f"{who} went back from version {before} to {version}")
        makers = {request.number for request in self.requests if request.version == version}
        if mark not in makers:
            self.wrong(f"{who} has version {version} with what order {mark} said")

    # The end.

    def finish(self) -> list[str]:
        """Check what can only be checked at the end; all violations."""
        accepted = {entry.digest for entry in self.chain.values()}
        for request in self.requests:
            if request.status in REJECTED and request.ended_s is not None:
                self._check_rejection(request, request.ended_s, accepted)
        self._check_chain()
        return self.violations

    def _check_rejection(self, request: ObservedRequest, ended_s: float, accepted: set[bytes]) -> None:
        if request.digest in accepted:
            self.wrong(f"{request} was refused with {request.status}, yet it was taken")
            return
        if request.version <= request.base or self._could_differ(request.base, request.sent_s, ended_s):
            return
        self.wrong(
            f"{request} was refused with {request.status} while its base was in force, "
            f"sent at {request.sent_s:.3f} s, answered at {request.ended_s:.3f} s"
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
            sent_s = min(request.sent_s for request in self.requests if request.digest == entry.digest)
            if sent_s <= until_s:
                return True
        return False

    def _check_chain(self) -> None:
        """Each version builds on the one before it."""
        before = 0
        for version in sorted(self.chain):
            digest = self.chain[version].digest
            bases = {request.base for request in self.requests if request.digest == digest}
            if before not in bases:
                self.wrong(f"version {version} was made on {sorted(bases)}, after {before}")
            before = version
