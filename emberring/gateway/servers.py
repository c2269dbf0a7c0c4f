"""The model servers as sends see them: who may get something new, and this gateway's share of connections."""

from __future__ import annotations

from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway.ports import Directory

UNLIMITED = 64  # connections to a server whose service states no limit


class ServerBook:
    """Reads the directory at each question, so that a drain holds from the moment it is known here."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._misdirected: set[str] = set()

    def sendable(self, server_id: str) -> ServerRecord | None:
        """The server, if something new may be sent to it now."""
        fact = self._directory.servers.get(server_id)
        if fact is None or fact.state is not ServerState.READY or server_id in self._misdirected:
            return None
        return fact

    def has_servers(self, service: str) -> bool:
        """Whether a server of this service may get something new."""
        return any(fact.service == service for fact in self.usable())

    def usable(self) -> list[ServerRecord]:
        """All servers that may get something new."""
        return [
            fact
            for fact in self._directory.servers.values()
            if fact.state is ServerState.READY and fact.id not in self._misdirected
        ]

    def misdirect(self, server_id: str) -> None:
        """Another server answered at this one's address: this incarnation is gone for good."""
        self._misdirected.add(server_id)

    def forget_absent(self) -> None:
        """Drop what is kept about servers that the directory no longer lists."""
        self._misdirected &= set(self._directory.servers)

    def connection_share(self, server_id: str) -> int:
        """How many connections this gateway may hold to a server; at least one."""
        fact = self._directory.servers.get(server_id)
        configuration = self._directory.configuration
        service = configuration.service(fact.service) if configuration and fact else None
        limit = service.max_connections if service and service.max_connections else 0
        if not limit:
            return UNLIMITED
        return max(1, limit // max(1, self._directory.gateway_count))
