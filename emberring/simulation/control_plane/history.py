"""History of a simulated control plane as clients and followers observed it, checked for linearizability."""

from __future__ import annotations

import math

import attrs

from emberring.configuration.state import ControlState
from emberring.simulation.register.history import History

ACCEPTED = 200
REJECTED = frozenset({400, 409, 412})


@attrs.define(eq=False)
class ObservedRequest:
    """A change request of an operator with all its retries. The register stores its `digest`. Times in seconds."""

    number: int
    base: int
    version: int
    digest: bytes
    sent_s: float
    ended_s: float | None = None
    status: int = 0  # status of the last response; 0 if the outcome is unknown

    def __str__(self) -> str:
        return f"request {self.number} (version {self.version} on {self.base})"


@attrs.define(eq=False)
class VersionInForce:
    """An accepted version: the digest of its request, and when it was first confirmed to be in force (s)."""

    version: int
    digest: bytes
    confirmed_s: float


class ControlHistory(History):
    """All observations, and the `violations` found in them."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[ObservedRequest] = []
        self.accepted_versions: dict[int, VersionInForce] = {}
        self._by_digest: dict[bytes, ObservedRequest] = {}
        self._newest_confirmed: list[tuple[float, int]] = [(0.0, 0)]  # time, newest version confirmed by then

    def add_violation(self, text: str) -> None:
        """Record a violation, once."""
        if text not in self.violations:
            self.violations.append(text)

    # The register's value.

    def on_state_learned(self, now_s: float, where: str, state: ControlState, before: int) -> None:
        """Handle a state that a node learned after one of version `before` in the same incarnation."""
        if state.version < before:
            self.add_violation(f"{where} learned version {state.version} after {before}")
        for digest in state.accepted_digests:
            request = self._by_digest.get(digest)
            if request is None:
                self.add_violation(f"{where} learned a state with a change that no operator requested")
            else:
                self._record_version(now_s, where, request.version, digest)
        newest = self._by_digest.get(state.accepted_digests[-1]) if state.accepted_digests else None
        if newest is not None and newest.version != state.version:
            self.add_violation(
                f"{where} learned version {state.version}, but its last change made {newest.version}"
            )

    def _record_version(self, now_s: float, where: str, version: int, digest: bytes) -> None:
        known = self.accepted_versions.setdefault(version, VersionInForce(version, digest, now_s))
        if known.digest != digest:
            self.add_violation(f"{where}: version {version} has two different configurations")

    def _newest_confirmed_before(self, at_s: float) -> int:
        """Return the newest version that was acknowledged or read before this time."""
        return max(version for ended_s, version in self._newest_confirmed if ended_s < at_s)

    def _record_confirmed(self, now_s: float, version: int) -> None:
        self._newest_confirmed.append((now_s, max(version, self._newest_confirmed[-1][1])))

    # Requests.

    def request_sent(self, request: ObservedRequest) -> None:
        """Record the first attempt of a request."""
        self.requests.append(request)
        self._by_digest.setdefault(request.digest, request)

    def request_accepted(self, now_s: float, request: ObservedRequest) -> None:
        """Handle a response with status 200."""
        request.ended_s, request.status = now_s, ACCEPTED
        for other in self.requests:
            if other is request or other.status != ACCEPTED or other.digest == request.digest:
                continue
            if other.version == request.version or other.base == request.base:
                self.add_violation(f"{request} and {other} were both acknowledged")
        self._record_version(now_s, f"the response to {request}", request.version, request.digest)
        self._record_confirmed(now_s, request.version)

    def request_rejected(self, now_s: float, request: ObservedRequest, status: int) -> None:
        """Record a response with status 400, 409 or 412."""
        request.ended_s, request.status = now_s, status

    # Reads.

    def read(self, sent_s: float, now_s: float, where: str, version: int, mark: int) -> None:
        """Check a read sent at `sent_s` that returned this version and the mark of the request that produced it."""
        min_version = self._newest_confirmed_before(sent_s)
        if version < min_version:
            self.add_violation(
                f"{where}: a read sent at {sent_s:.3f} s returned version {version} after {min_version} was confirmed"
            )
        request_numbers = {request.number for request in self.requests if request.version == version}
        if version and mark not in request_numbers:
            self.add_violation(f"{where} returned version {version} with the content of request {mark}")
        self._record_confirmed(now_s, version)

    # Followers.

    def on_configuration_followed(
        self, now_s: float, follower: str, before: int, version: int, mark: int
    ) -> None:
        """Check a change of the configuration of a follower."""
        if version < before:
            self.add_violation(f"{follower} went back from version {before} to {version}")
        request_numbers = {request.number for request in self.requests if request.version == version}
        if mark not in request_numbers:
            self.add_violation(f"{follower} has version {version} with the content of request {mark}")

    # Final checks.

    def finish(self) -> list[str]:
        """Run the checks that need the complete history; returns all violations."""
        accepted = {entry.digest for entry in self.accepted_versions.values()}
        for request in self.requests:
            if request.status in REJECTED and request.ended_s is not None:
                self._check_rejection(request, request.ended_s, accepted)
        self._check_bases()
        return self.violations

    def _check_rejection(self, request: ObservedRequest, ended_s: float, accepted: set[bytes]) -> None:
        if request.digest in accepted:
            self.add_violation(f"{request} was rejected with {request.status} but committed")
            return
        if request.version <= request.base or self._another_version_possible(
            request.base, request.sent_s, ended_s
        ):
            return
        self.add_violation(
            f"{request} was rejected with {request.status} while its base was in force, "
            f"sent at {request.sent_s:.3f} s, answered at {request.ended_s:.3f} s"
        )

    def _another_version_possible(self, base: int, from_s: float, until_s: float) -> bool:
        """Return whether a version other than `base` may have been in force at some time between these times."""
        ordered = sorted(self.accepted_versions.values(), key=lambda entry: entry.version)
        # An older version was in force until a newer one was chosen, at the latest when that one was confirmed.
        confirmed_s = min((entry.confirmed_s for entry in ordered if entry.version >= base), default=math.inf)
        if base and (base not in self.accepted_versions or confirmed_s >= from_s):
            return True
        for entry in ordered:
            if entry.version <= base:
                continue
            sent_s = min(request.sent_s for request in self.requests if request.digest == entry.digest)
            if sent_s <= until_s:
                return True
        return False

    def _check_bases(self) -> None:
        """Check that each version is based on the one before it."""
        before = 0
        for version in sorted(self.accepted_versions):
            digest = self.accepted_versions[version].digest
            bases = {request.base for request in self.requests if request.digest == digest}
            if before not in bases:
                self.add_violation(f"version {version} is based on {sorted(bases)}, but follows {before}")
            before = version
