"""Clients and the operator."""

from __future__ import annotations

import asyncio
import base64
import json
import secrets
from typing import Any

from rig_two.http_messages import Message, call, render_request
from rig_two.record import Record

HOST = "nony24.example"
DEADLINE_MS = 5000


def new_id() -> str:
    """Return a new id of a try, a batch job or an item."""
    return secrets.token_hex(8)


def route(name: str, prefix: str, kind: str, service: str, **extra: object) -> dict[str, Any]:
    """Return a route of a configuration."""
    table: dict[str, Any] = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 200,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
        "Sticky": True,
        "Resumable": False,
        "gap_aim_ms": 250,
    }
    return table | extra


def batch_route(name: str, prefix: str, service: str, **extra: object) -> dict[str, Any]:
    """Return a route for batch jobs."""
    limits: dict[str, object] = {
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "Priority": 2,
        "MaxAttempts": 3,
        "CompletionTargetMs": 8000,
        "RetentionS": 40,
        "MaxQueuedTokens": 1_200_000,
    }
    return route(name, prefix, "batch", service, **(limits | extra))


def service(name: str) -> dict[str, Any]:
    """Return a service of a configuration."""
    runtime = {"Capacity": 32, "KvCacheTokens": 232_000, "stride": 14, "Models": [{"Name": "m"}]}
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConnections": 230,
        "Protocol": "h1",
        "Tls": False,
        "Runtime": runtime,
    }


def configuration(version: int, routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return a whole configuration."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [service(name) for name in services],
        "Limits": limits,
    }


class Operator:
    """Sends configurations until they are taken."""

    def __init__(self, controls: list[str], record: Record) -> None:
        self._controls, self._record = controls, record

    async def configure(self, document: dict[str, Any], base: int, limit_s: float = 12.0) -> bool:
        """Send a whole configuration on top of `base`, to one node after the other; return whether it was taken."""
        headers = {"Host": "control", "If-Match": str(base), "Content-Type": "application/json"}
        request = render_request("PUT", "/v1/config", headers, json.dumps(document).encode())
        end_s = self._record.now_s() + limit_s
        number = 0
        while self._record.now_s() < end_s:
            response = await call(self._controls[number % len(self._controls)], request, 1.0)
            if response is not None and response.status == 200:
                self._record.note(f"operator: version {document['Version']} acknowledged")
                return True
            number += 1
            await asyncio.sleep(0.1)
        self._record.note(f"operator: version {document['Version']} not acknowledged")
        return False


def live_request(path: str, request_id: str, **extra: str) -> bytes:
    """Return a live request with a small prompt."""
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Model": "m",
        "Token-Count": "60,20",
        "Prefix-Hash": "5c1e07a2:40,91bd3f06:20",
        "Deadline-Ms": str(DEADLINE_MS),
    }
    return render_request("POST", path, headers | extra, b"a short prompt")


async def ask(record: Record, frontend: str, path: str) -> tuple[str, Message | None]:
    """Send one live request on a fresh connection; return its id and the answer."""
    request_id = new_id()
    record.note(f"client: {request_id} to {frontend} {path}")
    answer = await call(frontend, live_request(path, request_id), DEADLINE_MS / 1000 + 1.0)
    record.note(f"client: {request_id} got {answer.status if answer else 'no answer'}")
    return request_id, answer


class BatchClient:
    """Submits one batch job and reads it; a class that derives from it may set the tokens of an item."""

    item_tokens = 80

    def __init__(
        self, record: Record, frontends: list[str], prefix: str, items: int, *, host: str = HOST
    ) -> None:
        self._record, self._frontends, self._host = record, frontends, host
        self.job = new_id()
        self.items = [new_id() for _ in range(items)]
        self._path = f"{prefix}{new_id()[:6]}"
        listed = [self._item(item, prefix, self.item_tokens) for item in self.items]
        self._body = json.dumps({"Requests": listed}).encode()
        self._turn = 0

    @staticmethod
    def _item(item: str, prefix: str, tokens: int) -> dict[str, Any]:
        prompt, most = tokens * 3 // 4, tokens - tokens * 3 // 4
        parts = f"9c2e41:{prompt - 2},5d07b8:2"
        headers = {"Model": "m", "Token-Count": f"{prompt},{most}", "Prefix-Hash": parts}
        body = base64.b64encode(f"body of {item}".encode()).decode()
        return {
            "Id": item,
            "Path": f"{prefix}3/{item[:4]}",
            "Headers": headers,
            "Body": body,
            "Tokens": tokens,
        }

    def _frontend(self) -> str:
        self._turn += 1
        return self._frontends[self._turn % len(self._frontends)]

    async def _call(self, method: str, path: str, body: bytes = b"", **headers: str) -> Message | None:
        request = render_request(method, path, {"Host": self._host, **headers}, body)
        return await call(self._frontend(), request, 4.0)

    async def submit(self, limit_s: float = 8.0) -> bool:
        """Submit the batch job, again after every failure; return whether it was accepted."""
        end_s = self._record.now_s() + limit_s
        headers = {"Request-Id": self.job, "Content-Type": "application/json"}
        while self._record.now_s() < end_s:
            answer = await self._call("POST", self._path, self._body, **headers)
            self._record.note(f"client: batch job {self.job} got {answer.status if answer else 'no answer'}")
            if answer is not None and answer.status == 202:
                return True
            await asyncio.sleep(0.2)
        return False

    async def read(self, start: int = 0) -> dict[str, Any] | None:
        """Return a page of results, None without a 200."""
        answer = await self._call("GET", f"/v1/lots/{self.job}?StartAfter={start}")
        if answer is None or answer.status != 200:
            self._record.note(f"client: read of {self.job} got {answer.status if answer else 'no answer'}")
            return None
        page: dict[str, Any] = json.loads(answer.body)
        self._record.note(f"client: read of {self.job}: {len(page['Results'])} of {page['Total']} listed")
        return page
