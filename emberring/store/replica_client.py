"""Calls and lease renewals from the shard owners of this store to replicas, here or at other stores."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

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
    ReplicaReply,
    ReplicaRequest,
    ShardLease,
    WriteSlots,
    WriteSlotsReply,
)
from emberring.store.replica_host import ReplicaHost
from emberring.transport.messages import Ok
from emberring.transport.network import Network

Reply = TypeVar("Reply")

LEASE_RENEWAL_TIMEOUT_S = 0.5
MAX_LEASE_RENEWALS_IN_FLIGHT = 3  # to one replica

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

ReplyCallback = Callable[[ReplicaReply | None], None]
RenewalCallback = Callable[[str, float, RenewLeasesReply], None]


class ReplicaClient:
    """Client that calls replicas by the identity of their disk. `addresses`: current address of each identity."""

    def __init__(self, network: Network, host: ReplicaHost) -> None:
        self.addresses: dict[str, str] = {}
        self._network = network
        self._host = host
        self._tasks: set[asyncio.Task[None]] = set()
        self._renewals_in_flight: dict[str, int] = {}

    def call(self, target: str, message: ReplicaRequest, callback: ReplyCallback) -> None:
        """Call a replica; `callback` receives its reply, or None if the call failed."""
        if target == self._host.identity:
            self._host.handle(
                message, lambda reply: callback(None if isinstance(reply, EmberringError) else reply)
            )
            return
        self._spawn(self._call(target, message, callback))

    async def _call(self, target: str, message: ReplicaRequest, callback: ReplyCallback) -> None:
        try:
            callback(await self._send(target, message, REPLY_OF[type(message)], TIMEOUT_S[type(message)]))
        except EmberringError:
            callback(None)

    async def _send(
        self, target: str, message: ReplicaRequest | RenewLeases, reply: type[Reply], timeout_s: float
    ) -> Reply:
        address = self.addresses.get(target)
        if address is None:
            raise PeerUnavailableError(f"no address is known for identity {target}")
        return await self._network.call(address, message, reply, timeout_s)

    def renew_lease(self, target: str, leases: list[ShardLease], callback: RenewalCallback) -> None:
        """Renew leases at a replica; `callback` receives its identity, the time of sending, and the reply.

        The callback is not called if the renewal fails or is skipped, as too many are in flight.
        """
        message = RenewLeases(self._host.identity, target, tuple(leases))
        sent_s = asyncio.get_running_loop().time()
        if target == self._host.identity:
            callback(target, sent_s, self._host.renew_lease(message))
        elif self._renewals_in_flight.get(target, 0) < MAX_LEASE_RENEWALS_IN_FLIGHT:
            self._renewals_in_flight[target] = self._renewals_in_flight.get(target, 0) + 1
            self._spawn(self._renew_leases(target, message, sent_s, callback))

    async def _renew_leases(
        self, target: str, message: RenewLeases, sent_s: float, callback: RenewalCallback
    ) -> None:
        try:
            reply = await self._send(target, message, RenewLeasesReply, LEASE_RENEWAL_TIMEOUT_S)
        except EmberringError:
            return
        finally:
            self._renewals_in_flight[target] -= 1
        callback(target, sent_s, reply)

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all calls in flight."""
        for task in self._tasks:
            task.cancel()
