"""An emulated discovery service: keeps a server list and reports its changes to watchers."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from loadbalancer.emulator.box import Box
from loadbalancer.emulator.listening import Listening


class Discovery(Listening):
    """`GET /discovery/hosts` returns the whole list; `?since=REV&timeout_ms=T` is a long poll for changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.calls = 0

    async def start(self, port: int = 0) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return self

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def tell(
        self, box: Box, state: str = "Ready", zone: str = "", cell: int = 0, boot_ms: float = 0.0
    ) -> None:
        """Add a server to the list, change its entry, or remove it (state `Gone`)."""
        self.revision += 1
        row = {
            "uid": box.name,
            "endpoint": box.endpoint,
            "az": zone,
            "pod_group": cell,
            "state": state,
            "boot_ms": boot_ms,
        }
        if state == "Gone":
            self.rows.pop(box.name, None)
        else:
            self.rows[box.name] = row
        self._changes.append((self.revision, row))
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, since: int | None) -> dict[str, Any]:
        if since is None or since < 1:
            return {"rev": self.revision, "all": True, "targets": list(self.rows.values())}
        rows = [row for revision, row in self._changes if revision > since]
        return {"rev": self.revision, "all": False, "targets": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.calls += 1
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                since = int(query["since"][0]) if "since" in query else None
                wait_s = float(query.get("timeout_ms", ["0"])[0]) / 1000.0
                if since is not None and since >= self.revision and wait_s > 0.0:
                    try:
                        async with asyncio.timeout(wait_s):
                            await self._changed.wait()
                    except TimeoutError:
                        pass
                body = orjson.dumps(self.listing(since))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
