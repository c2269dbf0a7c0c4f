"""The model servers that requests may be sent to, and this gateway's connection limit for each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from emberring.backoff import doubled_wait_s
from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway.ports import Directory

DEFAULT_CONNECTION_LIMIT = 64  # connections to a server of a service without a limit
# For which a server is left out after another one has answered at its address: doubled with each further time, as long
# as the directory lists it. A request that is sent there afterwards names the server and can't run at the other one.
MISDIRECTED_BASE_S, MISDIRECTED_MAX_S = 1.0, 8.0


def _event_loop_time() -> float:
    return asyncio.get_running_loop().time()


@attrs.frozen
class _Misdirection:
    """Another server has answered at a server's address, `count` times by now; the server is left out `until_s`."""

    count: int
    until_s: float


class RoutableServers:
    """The routable servers. The directory is read at each call, so that draining takes effect without delay.

    `clock` returns the time in seconds of the monotonic clock.
    """

    def __init__(self, directory: Directory, clock: Callable[[], float] = _event_loop_time) -> None:
        self._directory = directory
        self._clock = clock
        self._misdirections: dict[str, _Misdirection] = {}

    def routable(self, server_id: str) -> ServerRecord | None:
        """Return the server if a new request may be sent to it now, else None."""
        record = self._directory.servers.get(server_id)
        return record if record is not None and self._is_routable(record) else None

    def has_servers(self, service: str) -> bool:
        """Return whether this service has a server to which a new request may be sent."""
        return any(
            record.service == service and self._is_routable(record)
            for record in self._directory.servers.values()
        )

    def services(self) -> set[str]:
        """Return the services that have a server to which a new request may be sent."""
        found: set[str] = set()
        for record in self._directory.servers.values():
            if record.service not in found and self._is_routable(record):
                found.add(record.service)
        return found

    def all_routable(self) -> list[ServerRecord]:
        """Return all servers to which a new request may be sent."""
        return [record for record in self._directory.servers.values() if self._is_routable(record)]

    def _is_routable(self, record: ServerRecord) -> bool:
        if record.state is not ServerState.READY:
            return False
        misdirection = self._misdirections.get(record.id)
        return misdirection is None or self._clock() >= misdirection.until_s

    def mark_misdirected(self, server_id: str) -> None:
        """Record that another server answered at the address of this one, which is left out for a time.

        The answer may have been given by mistake, or the address may change hands again, so there is a way back.
        """
        before = self._misdirections.get(server_id)
        count = before.count + 1 if before is not None else 1
        duration_s = doubled_wait_s(MISDIRECTED_BASE_S, MISDIRECTED_MAX_S, count)
        self._misdirections[server_id] = _Misdirection(count, self._clock() + duration_s)

    def forget_absent(self) -> None:
        """Remove the state of servers that the directory no longer lists."""
        self._misdirections = {
            server_id: misdirection
            for server_id, misdirection in self._misdirections.items()
            if server_id in self._directory.servers
        }

    def connection_limit(self, server_id: str) -> int:
        """Return the limit of connections from this gateway to a server; at least 1."""
        record = self._directory.servers.get(server_id)
        configuration = self._directory.configuration
        service = configuration.service(record.service) if configuration and record else None
        limit = service.max_connections if service and service.max_connections else 0
        if not limit:
            return DEFAULT_CONNECTION_LIMIT
        return max(1, limit // max(1, self._directory.gateway_count))
