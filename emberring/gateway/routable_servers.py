"""The model servers that requests may be sent to, and this gateway's connection limit for each."""

from __future__ import annotations

from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway.ports import Directory

DEFAULT_CONNECTION_LIMIT = 64  # connections to a server of a service without a limit


class RoutableServers:
    """The routable servers. The directory is read at each call, so that draining takes effect without delay."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._misdirected: set[str] = set()

    def routable(self, server_id: str) -> ServerRecord | None:
        """Return the server if a new request may be sent to it now, else None."""
        record = self._directory.servers.get(server_id)
        if record is None or record.state is not ServerState.READY or server_id in self._misdirected:
            return None
        return record

    def has_servers(self, service: str) -> bool:
        """Return whether this service has a server to which a new request may be sent."""
        return any(record.service == service for record in self.all_routable())

    def services(self) -> set[str]:
        """Return the services that have a server to which a new request may be sent."""
        return {record.service for record in self.all_routable()}

    def all_routable(self) -> list[ServerRecord]:
        """Return all servers to which a new request may be sent."""
        return [
            record
            for record in self._directory.servers.values()
            if record.state is ServerState.READY and record.id not in self._misdirected
        ]

    def mark_misdirected(self, server_id: str) -> None:
        """Record that another server has taken over the address: this incarnation no longer exists."""
        self._misdirected.add(server_id)

    def forget_absent(self) -> None:
        """Remove the state of servers that the directory no longer lists."""
        self._misdirected &= set(self._directory.servers)

    def connection_limit(self, server_id: str) -> int:
        """Return the limit of connections from this gateway to a server; at least 1."""
        record = self._directory.servers.get(server_id)
        configuration = self._directory.configuration
        service = configuration.service(record.service) if configuration and record else None
        limit = service.max_connections if service and service.max_connections else 0
        if not limit:
            return DEFAULT_CONNECTION_LIMIT
        return max(1, limit // max(1, self._directory.gateway_count))
