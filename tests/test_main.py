"""The node process: configuration, start, reload on SIGHUP and draining on SIGTERM."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from loopback import (
    Caller,
    Discovery,
    Message,
    Peer,
    config_row,
    listing,
    read_message,
    reply,
    request,
    targets,
    until,
)

ROOT = Path(__file__).parent.parent
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"


def start(path: Path | None) -> subprocess.Popen[str]:
    environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
    if path is not None:
        environment["PROXY_CONFIG"] = str(path)
    return subprocess.Popen(
        [sys.executable, "-m", "loadbalancer"], cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True
    )


@pytest.mark.parametrize(
    "change",
    [
        lambda row: row.pop("listen"),
        lambda row: row.update(listen="nowhere"),
        lambda row: row.update(seed="not hex"),
        lambda row: row.update(known=[]),
        lambda row: row.update(settings=None),
        lambda row: row["settings"].update(categories=[]),
        lambda row: row.update(limits={"sockets": "many"}),
    ],
)
def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path, change):
    row = orjson.loads(orjson.dumps(config_row("127.0.0.1:1")))
    change(row)
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(row))
    program = start(path)
    _, stderr = program.communicate(timeout=60)
    assert program.returncode == 2
    assert stderr.count("\n") == 1


def test_a_missing_or_unreadable_configuration_is_one_line_and_exit_code_2(tmp_path):
    (tmp_path / "bad.json").write_text("{")
    for path in (None, tmp_path / "none.json", tmp_path / "bad.json"):
        program = start(path)
        _, stderr = program.communicate(timeout=60)
        assert program.returncode == 2
        assert stderr.count("\n") == 1


def test_sigterm_drains_the_node_and_it_exits_with_0(tmp_path):
    async def main():
        release = asyncio.Event()

        async def script(message):
            if message.headers["req-id"] == "held":
                await release.wait()
            return reply()

        server, discovery = await Peer(script).start(), await Discovery().start()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        known = targets(s0=(server.endpoint, "Ready"))
        row = config_row(discovery.endpoint, known=known) | {"listen": f"{address[0]}:{address[1]}"}
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(row))
        program = start(path)
        try:

            async def connect() -> Caller:
                return Caller(*await asyncio.open_connection(*address))

            async with asyncio.timeout(60):
                while True:
                    try:
                        caller = await connect()
                        break
                    except OSError:
                        await asyncio.sleep(0.05)
                assert (await caller.ask(READINESS_REQUEST)).status == 200
                idle = await connect()
                await idle.ask(READINESS_REQUEST)
                caller.writer.write(request(name="held"))
                await until(lambda: server.seen)
                program.send_signal(signal.SIGTERM)

                async def ask_on_new_connection(data: bytes) -> Message:
                    """Send a request like a client: retry on a new connection if the node closed it."""
                    while True:
                        try:
                            return await (await connect()).ask(data)
                        except (ConnectionError, asyncio.IncompleteReadError):
                            continue

                while (answer := await ask_on_new_connection(READINESS_REQUEST)).status == 200:
                    pass
                assert answer.status == 503
                answer = await idle.ask(request(name="kept"))  # existing connections stay usable
                assert (answer.status, answer.headers.get("connection")) == (200, None)
                assert (await ask_on_new_connection(request(name="new"))).status == 200
                assert await idle.reader.read() == b""  # closed between requests at the end of the drain
                assert program.poll() is None
                release.set()
                answer = await read_message(caller.reader)
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await asyncio.to_thread(program.wait) == 0
        finally:
            program.kill()
            program.communicate()
            server.stop()
            discovery.stop()

    asyncio.run(main())


def test_sighup_moves_to_another_discovery_and_a_bad_file_changes_nothing(tmp_path):
    async def main():
        first = await Discovery(listing(7, True, s0=("127.0.0.1:9", "Ready"))).start()
        second = await Discovery().start()
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(config_row(first.endpoint)))
        program = start(path)
        try:
            async with asyncio.timeout(60):
                await until(lambda: len(first.seen) == 2)
                path.write_text("{")
                program.send_signal(signal.SIGHUP)
                assert program.stderr is not None
                while "bad configuration" not in (line := await asyncio.to_thread(program.stderr.readline)):
                    assert line
                path.write_bytes(orjson.dumps(config_row(second.endpoint)))
                program.send_signal(signal.SIGHUP)
                await until(lambda: second.seen)
                assert "since=7&" in second.seen[0].first[1]  # the current list is kept
                await until(
                    lambda: all(reader.at_eof() for reader in first.readers)
                )  # the previous watch has ended
                program.send_signal(signal.SIGTERM)
                await asyncio.to_thread(program.communicate)
                assert program.returncode == 0
        finally:
            program.kill()
            program.wait()
            first.stop()
            second.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"categories": []}, "categories"),
        ({"categories": [{"name": "read", "aimMs": "1", "giveUpMs": 2.0, "effect": "free"}]}, "aimMs"),
        ({"categories": [{"name": "read", "aimMs": 1.0, "giveUpMs": 0, "effect": "free"}]}, "giveUpMs"),
    ],
)
def test_invalid_classes_are_a_bad_configuration(tmp_path, change, named):
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config_row("127.0.0.1:1", settings=change)))
    program = start(path)
    _, stderr = program.communicate(timeout=60)
    assert program.returncode == 2
    assert stderr.count("\n") == 1
    assert named in stderr
