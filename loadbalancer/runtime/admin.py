"""The admin listener: read-only, on loopback, JSON.

| path | what it tells |
| --- | --- |
| `/config` | the configuration in force, its digest, since when (Unix time in s), and the last one rejected |
| `/servers` | by pool: each server's state, zone, rank (less is picked first), calls in flight, errors |
| `/requests` | by pool and class: requests open |
| `/lists` | by pool: where its list comes from; of xDS: each resource's version, age, and what was rejected and why |
| `/load` | the node's own lag and share of latency, each pool's cursor and load, and who refused what |
| `/budgets` | by pool and class: first tries, retries, what was refused for lack of budget, time left, amplification |
| `/up` | 200 once each pool knows a server, else 503 |
"""

from __future__ import annotations

from collections import Counter
from typing import Any, Protocol

import orjson

from loadbalancer.core.pool import Pool
from loadbalancer.http.server import Call, Dialect, Server

LIMIT = 8  # connections


class Subject(Protocol):
    """What the admin listener shows."""

    def config_row(self) -> dict[str, Any]: ...

    def lists_row(self) -> dict[str, Any]: ...

    def budgets_row(self) -> dict[str, Any]: ...

    def load_row(self) -> dict[str, Any]: ...

    @property
    def ready(self) -> bool: ...

    @property
    def pools(self) -> dict[str, Pool]: ...


class Admin:
    def __init__(self, subject: Subject) -> None:
        self.subject = subject
        self.server = Server(LIMIT, self._on_call, Dialect(max_body=0))

    def _on_call(self, call: Call) -> None:
        path = call.target.partition(b"?")[0]
        if call.method not in (b"GET", b"HEAD"):
            call.pass_on(405, [(b"Allow", b"GET, HEAD")], b"", unusable=True)
            return
        pages = {
            b"/config": self.subject.config_row,
            b"/servers": self._servers,
            b"/requests": self._requests,
            b"/lists": self.subject.lists_row,
            b"/budgets": self.subject.budgets_row,
            b"/load": self.subject.load_row,
        }
        if path == b"/up":
            call.pass_on(200 if self.subject.ready else 503, [], b"")
        elif path in pages:
            body = orjson.dumps(pages[path](), option=orjson.OPT_INDENT_2)
            call.pass_on(200, [(b"Content-Type", b"application/json")], body)
        else:
            known = "\n".join(["/up", *(page.decode() for page in pages)])
            call.pass_on(404, [(b"Content-Type", b"text/plain")], f"{known}\n".encode(), unusable=True)

    def _servers(self) -> dict[str, Any]:
        return {name: servers_row(pool) for name, pool in self.subject.pools.items()}

    def _requests(self) -> dict[str, Any]:
        return {name: requests_row(pool) for name, pool in self.subject.pools.items()}


def servers_row(pool: Pool) -> list[dict[str, Any]]:
    """A pool's servers, the best ranked first."""
    rows = [
        {
            "id": info.address,
            "state": info.state.value,
            "zone": info.zone,
            "rank": round(rank, 4),
            "in_flight": load,
            "errors": round(errors, 4),
        }
        for info, rank, load, errors in pool.balancer.ranking.survey(pool.clock.ms())
    ]
    return sorted(rows, key=lambda row: (row["state"] != "up", row["rank"], row["id"]))


def requests_row(pool: Pool) -> dict[str, int]:
    """Open requests by class, those of none too."""
    counts = Counter(job.kind for job in pool.requests.values() if not job.done)
    return {name: counts[name] for name in pool.classes}
