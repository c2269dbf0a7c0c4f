"""The admin listener: read-only, on loopback, JSON.

| path | content |
| --- | --- |
| `/config` | the current configuration, its digest, when it was applied (Unix time in s), the last one rejected |
| `/servers` | by pool: each server's state, zone, rank (the lowest is picked first), calls in flight, errors |
| `/requests` | by pool and class: the number of open requests |
| `/lists` | by pool: the source of its server list; for xDS also each resource's version, age and rejection |
| `/load` | the node's loop lag and share of latency, each pool's cursor and load, rejections by cause |
| `/budgets` | by pool and class: first attempts, retries, rejections for lack of budget, time left, amplification |
| `/up` | 200 once each pool has a server, else 503 |
"""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

import orjson

from loadbalancer.core.pool import Pool
from loadbalancer.http.server import Call, Dialect, Server

MAX_CONNECTIONS = 8  # connections


class StatusSource(Protocol):
    """The source of the rows that the admin listener serves."""

    def config_row(self) -> dict[str, Any]: ...

    def lists_row(self) -> dict[str, Any]: ...

    def budgets_row(self) -> dict[str, Any]: ...

    def load_row(self) -> dict[str, Any]: ...

    @property
    def ready(self) -> bool: ...

    @property
    def pools(self) -> dict[str, Pool]: ...


class Admin:
    """Serves the paths above."""

    def __init__(self, source: StatusSource) -> None:
        self.source = source
        self.server = Server(MAX_CONNECTIONS, self._on_call, Dialect(max_body=0))

    def _on_call(self, call: Call) -> None:
        path = call.target.partition(b"?")[0]
        if call.method not in (b"GET", b"HEAD"):
            call.pass_on(405, [(b"Allow", b"GET, HEAD")], b"", unusable=True)
            return
        pages = {
            b"/config": self.source.config_row,
            b"/servers": self._servers,
            b"/requests": self._requests,
            b"/lists": self.source.lists_row,
            b"/budgets": self.source.budgets_row,
            b"/load": self.source.load_row,
        }
        if path == b"/up":
            call.pass_on(200 if self.source.ready else 503, [], b"")
        elif path in pages:
            body = orjson.dumps(pages[path](), option=orjson.OPT_INDENT_2)
            call.pass_on(200, [(b"Content-Type", b"application/json")], body)
        else:
            known = "\n".join(["/up", *(page.decode() for page in pages)])
            call.pass_on(404, [(b"Content-Type", b"text/plain")], f"{known}\n".encode(), unusable=True)

    def _servers(self) -> dict[str, Any]:
        return {name: servers_row(pool) for name, pool in self.source.pools.items()}

    def _requests(self) -> dict[str, Any]:
        return {name: requests_row(pool) for name, pool in self.source.pools.items()}


def servers_row(pool: Pool) -> list[dict[str, Any]]:
    """Return a pool's servers, those that are up first, by rank."""
    rows = [
        {
            "id": info.address,
            "state": info.state.value,
            "zone": info.zone,
            "rank": round(rank, 4),
            "in_flight": load,
            "errors": round(errors, 4),
        }
        for info, rank, load, errors in pool.balancer.ranking.server_status(pool.clock.ms())
    ]
    return sorted(rows, key=lambda row: (row["state"] != "up", row["rank"], row["id"]))


def requests_row(pool: Pool) -> dict[str, int]:
    """Return the number of open requests of each class, 0 included."""
    counts = Counter(open_request.kind for open_request in pool.requests.values() if not open_request.done)
    return {name: counts[name] for name in pool.classes}
