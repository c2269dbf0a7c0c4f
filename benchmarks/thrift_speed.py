"""Thrift: the codec compared with other libraries, a node's calls a second compared with HTTP, memory of idle
connections.

    python -m benchmarks.thrift_speed

Server, node and load are separate processes on 127.0.0.1, with one core each if there are enough. Needs the packages
`thrift` and `thriftpy2` (the extra `dev`).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import platform
import statistics
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from benchmarks.throughput import Load, free_port
from loadbalancer.thrift.codec import Decoder, check, encode, transcode, writer_of
from loadbalancer.thrift.types import I32, I64, LIST, STRING, STRUCT, Form, Message, MessageKind

ROOT = Path(__file__).resolve().parent.parent


def body(form: Form, rows: int) -> bytes:
    """The arguments of a `post` call with this many lines."""
    out = writer_of(form)
    out.begin_struct()
    out.field(STRUCT, 1)
    out.begin_struct()
    for number, text in ((1, b"posting-7f3a91"), (2, b"general"), (3, b"imports")):
        out.field(STRING, number)
        out.value(STRING, text)
    out.field(I64, 4)
    out.value(I64, 120450)
    out.field(LIST, 5)
    out.sized(STRUCT, rows)
    for at in range(rows):
        out.begin_struct()
        out.field(I32, 1)
        out.value(I32, at)
        out.field(STRING, 2)
        out.value(STRING, b"line %d" % at)
        out.field(I64, 3)
        out.value(I64, -at * 1000)
        out.end_struct()
    out.end_struct()
    out.end_struct()
    return bytes(out.out)


# ---------------------------------------------------------------------------------- codec


def apache(data: bytes, form: Form) -> Callable[[], None]:
    from thrift.protocol.TBinaryProtocol import TBinaryProtocol
    from thrift.protocol.TCompactProtocol import TCompactProtocol
    from thrift.Thrift import TType
    from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

    kind = TCompactProtocol if form.compact else TBinaryProtocol

    def run_once() -> None:
        found = kind(TFramedTransport(TMemoryBuffer(data)))
        found.readMessageBegin()
        found.skip(TType.STRUCT)
        found.readMessageEnd()

    return run_once


def thriftpy(data: bytes, form: Form, compiled: bool) -> Callable[[], None]:
    from thriftpy2.protocol import TCompactProtocol, TCyBinaryProtocol
    from thriftpy2.protocol.binary import TBinaryProtocol
    from thriftpy2.thrift import TType
    from thriftpy2.transport import TCyFramedTransport, TFramedTransport, TMemoryBuffer

    kind: Any = TCyBinaryProtocol if compiled else TCompactProtocol if form.compact else TBinaryProtocol
    frames: Any = TCyFramedTransport if compiled else TFramedTransport

    def run_once() -> None:
        found = kind(frames(TMemoryBuffer(data)))
        found.read_message_begin()
        found.skip(TType.STRUCT)
        found.read_message_end()

    return run_once


def ours(data: bytes, form: Form) -> Callable[[], None]:
    def run_once() -> None:
        (found,) = Decoder(1 << 24).feed(data)
        assert isinstance(found, Message)
        check(found.body, form)

    return run_once


def ours_transcoded(data: bytes, form: Form, other: Form) -> Callable[[], None]:
    def run_once() -> None:
        (found,) = Decoder(1 << 24).feed(data)
        assert isinstance(found, Message)
        transcode(found.body, form, other)

    return run_once


def speed(run_once: Callable[[], None], seconds: float) -> float:
    """Calls of `run_once` a second, the median of five runs."""
    rates = []
    for _ in range(5):
        began, count = time.perf_counter(), 0
        while time.perf_counter() - began < seconds / 5:
            run_once()
            count += 1
        rates.append(count / (time.perf_counter() - began))
    return statistics.median(rates)


def codec(seconds: float) -> None:
    print(f"{'going past one framed call':<46} {'bytes':>8} {'calls/s':>10} {'MB/s':>8}")
    for form, other in ((Form.BINARY, Form.COMPACT), (Form.COMPACT, Form.BINARY)):
        for rows in (0, 2000):
            data = encode(Message(form, MessageKind.CALL, b"post", 7, body(form, rows)), True)
            cases = {
                "ours, checked whole": ours(data, form),
                f"ours, written in {other.value}": ours_transcoded(data, form, other),
                "thrift (Apache), skip": apache(data, form),
                "thriftpy2, skip": thriftpy(data, form, False),
            }
            if form is Form.BINARY:
                cases["thriftpy2 compiled, skip"] = thriftpy(data, form, True)
            for name, run_once in cases.items():
                rate = speed(run_once, seconds)
                print(
                    f"{form.value + ': ' + name:<46} {len(data):>8} {rate:>10.0f} {rate * len(data) / 1e6:>8.1f}"
                )


# ----------------------------------------------------------------------------------- node

CONFIGURATION = """kind = "configuration"
version = 1
name = "bench"
[limits]
descriptors = {descriptors}
max_open = 4000
[[listeners]]
name = "application"
address = "127.0.0.1:{http}"
[[listeners]]
name = "thrift"
protocol = "thrift"
address = "127.0.0.1:{thrift}"
[[pools]]
name = "http"
list = {{ source = "static", servers = [{{ id = "b", address = "127.0.0.1:{http_box}" }}] }}
[[pools]]
name = "thrift"
protocol = "thrift"
thrift = {{ form = "binary" }}
list = {{ source = "static", servers = [{{ id = "b", address = "127.0.0.1:{thrift_box}" }}] }}
[[classes]]
name = "read"
pool = "http"
effect = "safe"
aim_ms = 1000
give_up_ms = 2500
[[classes]]
name = "balance"
pool = "thrift"
effect = "safe"
aim_ms = 1000
give_up_ms = 2500
[[routes]]
class = "read"
path = "/**"
[[routes]]
class = "balance"
call = "balance"
"""


class Caller(asyncio.Protocol):
    """One connection of a closed loop: calls, waits for the reply, repeats until the time is over."""

    def __init__(self, load: ThriftLoad) -> None:
        self.load = load
        self.buffer = b""
        self.sent_at = 0.0
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.send_request()

    def send_request(self) -> None:
        self.sent_at = time.perf_counter()
        self.transport.write(self.load.call)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) < 4 or len(self.buffer) < 4 + struct.unpack_from(">i", self.buffer)[0]:
            return
        (found,) = Decoder(1 << 20).feed(self.buffer)
        assert isinstance(found, Message)
        self.buffer = b""
        if self.load.on_answer(found.kind.name, self.sent_at):
            self.send_request()
        else:
            self.transport.close()


class ThriftLoad(Load):
    good = "REPLY"

    def __init__(self, connections: int, seconds: float, form: Form) -> None:
        super().__init__(connections, seconds)
        out = writer_of(form)
        out.begin_struct()
        out.field(STRING, 1)
        out.value(STRING, b"general")
        out.end_struct()
        self.call = encode(Message(form, MessageKind.CALL, b"balance", 9, bytes(out.out)), True)

    def caller(self) -> asyncio.Protocol:
        return Caller(self)


@contextlib.contextmanager
def process(core: int, *arguments: str) -> Iterator[subprocess.Popen[bytes]]:
    running = subprocess.Popen(
        [sys.executable, *arguments], cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    with contextlib.suppress(OSError):
        os.sched_setaffinity(running.pid, {core % (os.cpu_count() or 1)})
    try:
        yield running
    finally:
        running.terminate()
        running.wait(20)


async def wait_until_listening(port: int) -> None:
    for _ in range(400):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"no process listens on port {port}")


def resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def node(seconds: float, rounds: int, connections: int, idle: int) -> None:
    ports = {name: free_port() for name in ("http", "thrift", "http_box", "thrift_box")}
    cores = os.cpu_count() or 1
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        path = Path(folder) / "bench.toml"
        path.write_text(CONFIGURATION.format(descriptors=4 * idle + 512, **ports))
        box = ("-m", "loadbalancer.emulator.box", "--port", str(ports["http_box"]))
        stack.enter_context(process(cores - 2, *box))
        box = ("-m", "loadbalancer.emulator.thrift", "--port", str(ports["thrift_box"]))
        stack.enter_context(process(cores - 3, *box))
        sidecar = stack.enter_context(process(cores - 4, "-m", "loadbalancer.cli", "sidecar", str(path)))
        for port in ports.values():
            await wait_until_listening(port)
        cases: dict[str, Callable[[], Any]] = {
            "HTTP box directly": lambda: Load(connections, seconds).run(ports["http_box"]),
            "HTTP through the node": lambda: Load(connections, seconds).run(ports["http"]),
            "Thrift box directly": lambda: ThriftLoad(connections, seconds, Form.BINARY).run(
                ports["thrift_box"]
            ),
            "Thrift binary through the node": lambda: ThriftLoad(connections, seconds, Form.BINARY).run(
                ports["thrift"]
            ),
            "Thrift compact through the node to binary": lambda: ThriftLoad(
                connections, seconds, Form.COMPACT
            ).run(ports["thrift"]),
        }
        found: dict[str, list[tuple[float, float, float]]] = {name: [] for name in cases}
        for _ in range(rounds):
            for name, play in cases.items():
                found[name].append(await play())
        print(f"{connections} connections, {rounds} rounds of {seconds:g} s in turns; medians")
        print(f"{'case':<46} {'calls/s':>10} {'p50 ms':>8} {'p99 ms':>8}")
        for name, rows in found.items():
            rate, median_ms, p99_ms = (statistics.median(row[at] for row in rows) for at in range(3))
            print(f"{name:<46} {rate:>10.0f} {median_ms:>8.2f} {p99_ms:>8.2f}")
        before = resident_mb(sidecar.pid)
        idle_connections = [await asyncio.open_connection("127.0.0.1", ports["thrift"]) for _ in range(idle)]
        call = ThriftLoad(1, 1.0, Form.BINARY).call
        for reader, writer in idle_connections:  # one call on each connection
            writer.write(call)
            (size,) = struct.unpack(">i", await reader.readexactly(4))
            await reader.readexactly(size)
        after = resident_mb(sidecar.pid)
        print(
            f"memory: {before:.1f} MB, {after:.1f} MB with {idle} idle Thrift connections "
            f"({(after - before) * 1e3 / idle:.1f} kB each)"
        )
        for _, writer in idle_connections:
            writer.close()


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=2.0, help="duration of each case")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--idle", type=int, default=1000, help="idle connections whose memory is measured")
    args = parser.parse_args(argv)
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}")
    codec(args.seconds / 2)
    asyncio.run(node(args.seconds, args.rounds, args.connections, args.idle))
    return 0


if __name__ == "__main__":
    sys.exit(main())
