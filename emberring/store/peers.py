"""Calls from this store's owners to the replicas, at home or at other stores, and the lease renewals that
keep leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from emberring.errors import EmberringError, PeerUnavailableError
from emberring.jobs.messages import (
    ClaimOwnership,
    ClaimOwnershipReply,
    DropSlots,
    FetchRecords,
    FetchRecordsReply,
    InventoryReply,
    InventoryRequest,
    ReleaseOwnership,
    RenewLeases,
    RenewLeasesReply,
    ShardLease,
    WriteSlots,
    WriteSlotsReply,
)
from emberring.store.replicas import ReplicaHost
from emberring.transport.messages import Ok
from emberring.transport.network import Network

LEASE_RENEWAL_TIMEOUT_S = 0.5
MAX_LEASE_RENEWALS_IN_FLIGHT = 3

REPLY_OF: dict[type[Any], type[Any]] = {
    ClaimOwnership: ClaimOwnershipReply,
    WriteSlots: WriteSlotsReply,
    DropSlots: WriteSlotsReply,
    InventoryRequest: InventoryReply,
    FetchRecords: FetchRecordsReply,
    ReleaseOwnership: Ok,
}
TIMEOUT_S: dict[type[Any], float] = {
    ClaimOwnership: 0.6,
    WriteSlots: 1.0,
    DropSlots: 1.0,
    InventoryRequest: 1.5,
    FetchRecords: 1.5,
    ReleaseOwnership: 0.5,
}

Done = Callable[[Any], None]  # gets the reply, or None
RenewalCallback = Callable[[str, float, RenewLeasesReply], None]


class Peers:
    """Reaches replicas by identity. `addresses` says where each identity lives now."""

    def __init__(self, network: Network, host: ReplicaHost) -> None:
        self.addresses: dict[str, str] = {}
        self._network = network
        self._host = host
        self._tasks: set[asyncio.Task[None]] = set()
        self._renewals_in_flight: dict[str, int] = {}

    def call(self, target: str, message: Any, done: Done) -> None:
        """Call a replica; `done` gets its reply, or None where there was none."""
        if target == self._host.identity:
            self._host.ask(message, lambda reply: done(None if isinstance(reply, EmberringError) else reply))
            return
        self._spawn(self._call(target, message, done))

    async def _call(self, target: str, message: Any, done: Done) -> None:
        try:
            done(await self._ask(target, message, REPLY_OF[type(message)], TIMEOUT_S[type(message)]))
        except EmberringError:
            done(None)

    async def _ask(self, target: str, message: Any, reply: type[Any], timeout_s: float) -> Any:
        address = self.addresses.get(target)
        if address is None:
            raise PeerUnavailableError(f"nobody knows where {target} is")
        return await self._network.call(address, message, reply, timeout_s)

    def renew_lease(self, target: str, leases: list[ShardLease], done: RenewalCallback) -> None:
        """Keep these leases at a replica."""
        message = RenewLeases(self._host.identity, target, tuple(leases))
        sent_s = asyncio.get_running_loop().time()
        if target == self._host.identity:
            done(target, sent_s, self._host.renew_lease(message))
        elif self._renewals_in_flight.get(target, 0) < MAX_LEASE_RENEWALS_IN_FLIGHT:
            self._renewals_in_flight[target] = self._renewals_in_flight.get(target, 0) + 1
            self._spawn(self._renew_leases(target, message, sent_s, done))

    async def _renew_leases(
        self, target: str, message: RenewLeases, sent_s: float, done: RenewalCallback
    ) -> None:
        try:
            reply = await self._ask(target, message, RenewLeasesReply, LEASE_RENEWAL_TIMEOUT_S)
        except EmberringError:
            return
        finally:
            self._renewals_in_flight[target] -= 1
        done(target, sent_s, reply)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all calls."""
        for task in self._tasks:
            task.cancel()
