"""Third-party HTTP clients that use a sidecar process, also while servers are killed."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import httpx
import pytest
from beside import boxes, configuration_data
from loopback import until

from loadbalancer.emulator.box import Box
from loadbalancer.emulator.discovery import Discovery
from loadbalancer.sidecar.toml import dumps

ROOT = Path(__file__).parent.parent.parent
LISTENING_LINE = re.compile(r"(listener application|admin) on 127\.0\.0\.1:(\d+)")


@dataclass
class Process:
    """A sidecar process, its configuration file and its discovery service."""

    process: subprocess.Popen[str]
    path: Path
    discovery: Discovery
    ports: dict[str, int]
    log_lines: list[str]

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.ports['listener application']}"

    @property
    def admin(self) -> str:
        return f"http://127.0.0.1:{self.ports['admin']}"

    async def wait_for_log(self, text: str) -> str:
        """Wait for a log line with this text, and return it."""
        assert self.process.stderr is not None
        async with asyncio.timeout(30):
            while True:
                line = await asyncio.to_thread(self.process.stderr.readline)
                assert line, "".join(self.log_lines)
                self.log_lines.append(line)
                found = LISTENING_LINE.search(line)
                if found:
                    self.ports[found[1]] = int(found[2])
                if text in line:
                    return line

    async def reload(self, data: dict[str, Any], text: str = "is in force") -> str:
        self.path.write_text(dumps(data, {}))
        self.process.send_signal(signal.SIGHUP)
        return await self.wait_for_log(text)


def data_of(discovery: Discovery, **more: Any) -> dict[str, Any]:
    pools = [
        {"name": "boxes", "list": {"source": "discovery", "address": discovery.endpoint, "mode": "push"}}
    ]
    return configuration_data(pools=pools) | more


@contextlib.asynccontextmanager
async def sidecar_process(tmp_path: Path, *all_boxes: Box, **more: Any) -> AsyncIterator[Process]:
    discovery = await Discovery().start()
    for box in all_boxes:
        await box.start()
        discovery.tell(box)
    path = tmp_path / "sidecar.toml"
    path.write_text(dumps(data_of(discovery, **more), {}))
    command = [sys.executable, "-m", "loadbalancer.cli", "sidecar", str(path)]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    found = Process(process, path, discovery, {}, [])
    try:
        await found.wait_for_log("is in force")
        async with httpx.AsyncClient() as client, asyncio.timeout(30):
            while (await client.get(f"{found.admin}/up")).status_code != 200:
                await asyncio.sleep(0.01)
        yield found
        process.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(process.wait, 60) == 0
    finally:
        process.kill()
        process.communicate()
        discovery.stop()
        for box in all_boxes:
            box.stop()


def ran(all_boxes: list[Box]) -> Counter[str]:
    total: Counter[str] = Counter()
    for box in all_boxes:
        total.update(box.ran)
    return total


def test_httpx_keeps_its_connection_and_gets_headers_and_bodies_unchanged(tmp_path):
    async def main():
        (box,) = boxes(1)
        async with (
            sidecar_process(tmp_path, box) as sidecar,
            httpx.AsyncClient(base_url=sidecar.url) as client,
        ):
            big = {f"X-Big-{at}": "y" * 1500 for at in range(8)}
            for at in range(5):
                answer = await client.post(f"/journal/{at}", content=b"\x00" * 1000 * at, headers=big)
                assert (answer.status_code, answer.content) == (200, b"\x00" * 1000 * at)
            assert {seen.header(b"x-big-7") for seen in box.seen} == {b"y" * 1500}
            assert {seen.header(b"user-agent") for seen in box.seen} == {
                f"python-httpx/{httpx.__version__}".encode()
            }

            async def parts():
                for at in range(40):
                    yield b"%04d" % at * 100

            answer = await client.put("/upload", content=parts())
            assert answer.content == b"".join([b"%04d" % at * 100 for at in range(40)])
            assert (await client.head("/balance/1")).headers["content-length"] == "21"
            assert (await client.get("/status/304")).status_code == 304
            assert (await client.delete("/status/204")).status_code == 204
            assert (await client.get("/big/200000")).content == b"x" * 200_000
            assert (await client.get("/balance/1")).json() == {"balance": "1204.50"}
            assert box.accepted == 1

    asyncio.run(main())


def test_aiohttp_sends_a_chunked_upload_with_expect_and_bursts_on_many_connections(tmp_path):
    async def main():
        all_boxes = boxes(3)
        async with (
            sidecar_process(tmp_path, *all_boxes) as sidecar,
            aiohttp.ClientSession(sidecar.url) as client,
        ):

            async def parts():
                for at in range(50):
                    yield b"%05d" % at * 50

            async with client.post("/upload", data=parts(), expect100=True) as answer:
                assert answer.status == 200
                assert await answer.read() == b"".join([b"%05d" % at * 50 for at in range(50)])

            async def one(at: int) -> None:
                async with client.post("/x", data=b"%d" % at, headers={"X-Posting": f"p{at}"}) as answer:
                    assert (answer.status, await answer.read()) == (200, b"%d" % at)

            for burst in range(8):  # no request is rejected, from the first one on
                await asyncio.gather(*(one(burst * 100 + at) for at in range(12)))
            counts = ran(all_boxes)
            assert all(counts[f"p{burst * 100 + at}"] == 1 for burst in range(8) for at in range(12))

    asyncio.run(main())


@pytest.mark.parametrize("library", ["httpx", "aiohttp"])
def test_server_crash_drain_and_reloads_under_load_lose_and_repeat_no_unsafe_request(tmp_path, library):
    async def main():
        all_boxes = boxes(4)
        for box in all_boxes:
            box.behaviour.work_ms = 4.0
        statuses: Counter[tuple[str, int]] = Counter()
        answered: dict[str, int] = {}
        over = asyncio.Event()

        async def client(at: int, ask) -> None:
            number = 0
            while not over.is_set():
                number += 1
                unsafe = number % 2 == 0
                name = f"{'u' if unsafe else 's'}{at}-{number}"
                method, target = ("POST", "/journal") if unsafe else ("GET", "/balance/1")
                status, own, body = await ask(method, target, name)
                statuses[(method, status)] += 1
                answered[name] = status
                if status == 200:
                    assert body == (name.encode() if unsafe else b'{"balance":"1204.50"}')
                elif own is not None:
                    # Only an answer that states "it never ran" is a 503 for an unsafe request.
                    assert status in (502, 503, 504)
                    assert ("refused: " in own) == (status == 503)
                    assert not unsafe or status != 503 or "refused: it never ran" in own

        async with sidecar_process(tmp_path, *all_boxes) as sidecar, contextlib.AsyncExitStack() as stack:
            if library == "httpx":
                limits = httpx.Limits(max_connections=50)
                session = await stack.enter_async_context(
                    httpx.AsyncClient(base_url=sidecar.url, limits=limits, timeout=60)
                )

                async def ask(method, target, name):
                    body = name.encode() if method == "POST" else None
                    answer = await session.request(method, target, content=body, headers={"X-Posting": name})
                    return answer.status_code, answer.headers.get("proxy-status"), answer.content
            else:
                timeout = aiohttp.ClientTimeout(total=60)
                session = await stack.enter_async_context(aiohttp.ClientSession(sidecar.url, timeout=timeout))

                async def ask(method, target, name):
                    body = name.encode() if method == "POST" else None
                    # aiohttp itself retries a GET whose kept-alive connection was closed.
                    async with session.request(
                        method, target, data=body, headers={"X-Posting": name}
                    ) as answer:
                        return answer.status, answer.headers.get("Proxy-Status"), await answer.read()

            clients = [asyncio.create_task(client(at, ask)) for at in range(10)]

            async def wait_for_answers(count: int) -> None:
                goal = len(answered) + count
                async with asyncio.timeout(60):
                    while len(answered) < goal:
                        for task in clients:
                            if task.done():
                                task.result()
                        await asyncio.sleep(0.005)

            await wait_for_answers(100)
            # Broken answers go on until an unsafe request fails: a few of them could all hit safe, retried requests.
            all_boxes[0].behaviour.die_mid_answer = 1000
            await until(lambda: any(status in (502, 504) for _, status in statuses))
            all_boxes[0].behaviour.die_mid_answer = 0
            await wait_for_answers(100)
            all_boxes[0].stop()  # killed while requests are open on its connections
            await wait_for_answers(100)
            await sidecar.reload(data_of(sidecar.discovery, rules={"max_attempts": 2}))
            await wait_for_answers(100)
            sidecar.discovery.tell(all_boxes[1], "Terminating")
            await wait_for_answers(200)
            begun = all_boxes[1].taken
            await sidecar.reload(data_of(sidecar.discovery, limits={"max_open": 500}))
            await wait_for_answers(100)
            assert all_boxes[1].taken == begun  # an earlier drain still applies after a reload
            over.set()
            await asyncio.gather(*clients)

        counts = ran(all_boxes)
        unsafe = {name: status for name, status in answered.items() if name.startswith("u")}
        assert max(counts[name] for name in unsafe) == 1
        assert all(counts[name] == 1 for name, status in unsafe.items() if status == 200)
        assert all(counts[name] == 0 for name, status in unsafe.items() if status == 503)
        served = sum(count for (_, status), count in statuses.items() if status == 200)
        assert served > 0.9 * len(answered), statuses
        assert any(status in (502, 504) for _, status in statuses), statuses  # the failures reached callers

    asyncio.run(main())


def test_invalid_file_changes_nothing_and_is_shown_by_the_admin_listener(tmp_path):
    async def main():
        (box,) = boxes(1)
        async with sidecar_process(tmp_path, box) as sidecar, httpx.AsyncClient() as client:
            before = (await client.get(f"{sidecar.admin}/config")).json()
            sidecar.path.write_text('kind = "configuration"\nversion = 1\nnmae = "x"\n')
            sidecar.process.send_signal(signal.SIGHUP)
            await sidecar.wait_for_log("the one in force stays")
            async with asyncio.timeout(30):
                while (after := (await client.get(f"{sidecar.admin}/config")).json())["rejected"] is None:
                    await asyncio.sleep(0.01)
            assert after["digest"] == before["digest"]
            assert f"{sidecar.path}:3: nmae: no such key; did you mean 'name'?" in after["rejected"]["why"]
            assert (await client.get(f"{sidecar.url}/balance/1")).status_code == 200
            await sidecar.wait_for_log("nmae")
            await sidecar.reload(data_of(sidecar.discovery, name="else"), "can't replace 'beside'")
            assert (await client.get(f"{sidecar.admin}/config")).json()["digest"] == before["digest"]

    asyncio.run(main())


def test_drift_command_compares_running_sidecars(tmp_path):
    async def main():
        (box,) = boxes(1)
        async with sidecar_process(tmp_path, box) as sidecar:

            async def drift(*sources: str) -> tuple[int, str]:
                command = [sys.executable, "-m", "loadbalancer.cli", "config", "drift", *sources]
                process = await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
                )
                out, _ = await process.communicate()
                return process.returncode or 0, out.decode()

            assert await drift(sidecar.admin, str(sidecar.path)) == (0, "")
            assert await drift(sidecar.admin.removeprefix("http://"), sidecar.admin) == (0, "")
            other = tmp_path / "other.toml"
            other.write_text(dumps(data_of(sidecar.discovery, rules={"cold_ms": 5.0}), {}))
            code, output = await drift(sidecar.admin, str(other))
            assert code == 1
            assert "rules.cold_ms: DRIFT, endangers «no cold server pushed over»" in output

    asyncio.run(main())


def test_sigterm_finishes_open_requests_and_exits_with_0(tmp_path):
    async def main():
        (box,) = boxes(1)
        async with sidecar_process(tmp_path, box) as sidecar, httpx.AsyncClient(timeout=60) as client:
            box.behaviour.work_ms, box.behaviour.cores = 1.0, 0
            pending = asyncio.create_task(client.post(f"{sidecar.url}/x", content=b"held"))
            async with asyncio.timeout(30):
                while not box.taken:
                    await asyncio.sleep(0.005)
            sidecar.process.send_signal(signal.SIGTERM)
            await sidecar.wait_for_log("stops")
            box.behaviour.cores = 9
            box._begin()
            answer = await pending
            assert (answer.status_code, answer.content) == (200, b"held")

    asyncio.run(main())


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('kind = "configuration"\nversion = 2\n', "version: 2 is newer"),
        ("not toml", "is not TOML"),
        ('kind = "application"\nversion = 1\n', "calls: is missing"),
        (None, "No such file"),
    ],
)
def test_sidecar_with_an_invalid_configuration_does_not_start(tmp_path, text, said):
    path = tmp_path / "x.toml"
    if text is not None:
        path.write_text(text)
    command = [sys.executable, "-m", "loadbalancer.cli", "sidecar", str(path)]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2
    assert said in ended.stderr
    assert str(path) in ended.stderr
