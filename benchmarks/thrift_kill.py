"""Kills and replaces emulated Thrift servers at random under pipelined calls, and checks how often each call ran
against the reply that its caller received.

    python -m benchmarks.thrift_kill --seconds 60

Sidecars, servers and callers share this process and communicate over loopback. Exit code 1 if a rule was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.emulator.thrift import ThriftBehaviour, ThriftBox
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.sidecar.models import Configuration
from loadbalancer.thrift.codec import Decoder, encode, read_exception, writer_of
from loadbalancer.thrift.types import STRING, STRUCT, Form, Message, MessageKind

PATIENCE_S = 30.0  # timeout for a reply, longer than any deadline here


@dataclass
class Found:
    """The results of one run; each entry of `broken` describes a violated rule."""

    heard: Counter[str] = field(default_factory=Counter)
    sent: dict[str, str] = field(default_factory=dict)  # posting: the outcome that its caller received
    ran: Counter[str] = field(default_factory=Counter)
    kills: int = 0
    broken: list[str] = field(default_factory=list)

    def judge(self) -> None:
        """Compare the outcomes that callers received with the servers' own counts."""
        for name, heard in self.sent.items():
            times = self.ran[name]
            if times > 1:
                self.broken.append(f"{name} ran {times} times and its caller heard {heard}")
            if heard == "answered" and times != 1:
                self.broken.append(f"{name} was answered and ran {times} times")
            if heard.endswith("never ran") and times:
                self.broken.append(f"{name} ran, and its caller heard {heard}")


def configuration(name: str, ports: list[int], siblings: int) -> dict[str, Any]:
    servers = [{"id": f"box-{at}", "address": f"127.0.0.1:{port}"} for at, port in enumerate(ports)]
    times = {"aim_ms": 1000, "give_up_ms": 4000}
    return {
        "kind": "configuration",
        "version": 1,
        "name": name,
        "listeners": [{"name": "application", "address": "127.0.0.1:0", "protocol": "thrift"}],
        "pools": [
            {
                "name": "boxes",
                "protocol": "thrift",
                "siblings": siblings,
                "list": {"source": "static", "servers": servers},
            }
        ],
        "classes": [
            {"name": "journal-post", "pool": "boxes", "effect": "unsafe", "oneway_ms": 5} | times,
            {"name": "balance-read", "pool": "boxes", "effect": "safe", "worth": 12} | times,
        ],
        "routes": [
            {"class": "journal-post", "call": "post"},
            {"class": "journal-post", "call": "note"},
            {"class": "balance-read", "call": "balance"},
        ],
    }


def posting(name: str, form: Form) -> bytes:
    writer = writer_of(form)
    writer.begin_struct()
    writer.field(STRUCT, 1)
    writer.begin_struct()
    writer.field(STRING, 1)
    writer.value(STRING, name.encode())
    writer.end_struct()
    writer.end_struct()
    return bytes(writer.out)


class Play:
    def __init__(self, seed: int, nodes: int, boxes: int, callers: int, work_ms: float) -> None:
        self.rng = random.Random(seed)
        self.counts = nodes, boxes, callers
        self.work_ms = work_ms
        self.found = Found()
        self.boxes: list[ThriftBox] = []
        self.over = False

    async def run(self, seconds: float) -> Found:
        nodes, boxes, callers = self.counts
        for at in range(boxes):
            self.boxes.append(await ThriftBox(f"box-{at}", ThriftBehaviour(work_ms=self.work_ms)).start())
        ports = [int(box.endpoint.rpartition(":")[2]) for box in self.boxes]
        sidecars = []
        for at in range(nodes):
            sidecar = Sidecar(Configuration.model_validate(configuration(f"node-{at}", ports, nodes)))
            await sidecar.start()
            sidecars.append(sidecar)
        caller_tasks = [
            asyncio.create_task(self._call(f"{at}.{number}", sidecar))
            for at, sidecar in enumerate(sidecars)
            for number in range(callers)
        ]
        kill_task = asyncio.create_task(self._kill(ports))
        await asyncio.wait([*caller_tasks, kill_task], timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        self.over = True
        for task in (*caller_tasks, kill_task):
            try:
                await task
            except Exception as error:
                self.found.broken.append(f"a caller or the killer failed: {type(error).__name__}: {error}")
        # Oneway calls that are counted as sent may not have reached their server yet.
        wait_until = time.monotonic() + 2.0
        while any(sidecar.pools["boxes"].requests for sidecar in sidecars) and time.monotonic() < wait_until:
            await asyncio.sleep(0.01)
        for sidecar in sidecars:
            sidecar.close()
        for box in self.boxes:
            box.stop()
            self.found.ran.update(box.ran)
        self.found.judge()
        return self.found

    async def _kill(self, ports: list[int]) -> None:
        rng = self.rng
        while not self.over:
            await asyncio.sleep(rng.uniform(0.01, 0.15))
            at = rng.randrange(len(self.boxes))
            old = self.boxes[at]
            old.stop()
            self.found.ran.update(old.ran)
            old.ran = Counter()
            self.found.kills += 1
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            new = ThriftBox(old.name, ThriftBehaviour(work_ms=self.work_ms))
            self.boxes[at] = await new.start(ports[at])

    async def _call(self, caller_id: str, sidecar: Sidecar) -> None:
        """One caller: pipelines a few calls of all kinds and checks each reply against the expected one."""
        rng = random.Random(f"{caller_id}-{self.rng.random()}")
        form = rng.choice((Form.BINARY, Form.COMPACT))
        framed = rng.random() < 0.7
        reader, writer = await asyncio.open_connection(*sidecar.listeners["application"].front.server.address)
        decoder, received = Decoder(1 << 20), []
        seqid = 0
        while not self.over:
            expected: list[tuple[int, str, str]] = []
            for _ in range(rng.randint(1, 6)):
                seqid += 1
                kind = rng.choice(("post", "post", "note", "balance"))
                name = f"{caller_id}-{seqid}"
                oneway = kind == "note"
                body = posting(name, form) if kind != "balance" else b"\0"
                call = MessageKind.ONEWAY if oneway else MessageKind.CALL
                writer.write(encode(Message(form, call, kind.encode(), seqid, body), framed))
                if oneway:
                    self.found.sent[name] = "nothing, as it should"
                else:
                    expected.append((seqid, kind, name))
            for number, kind, name in expected:
                async with asyncio.timeout(PATIENCE_S):
                    while not received:
                        data = await reader.read(65536)
                        if not data:
                            raise ConnectionError("the sidecar ended the connection")
                        received += decoder.feed(data)
                reply = received.pop(0)
                if not isinstance(reply, Message) or reply.seqid != number:
                    raise ValueError(f"received {reply}, expected a reply to call {number}")
                heard = "answered"
                if reply.kind is MessageKind.EXCEPTION:
                    _, text = read_exception(reply.body, reply.form)
                    heard = "; ".join(text.split("; ")[:2])
                self.found.heard[f"{kind}: {heard}"] += 1
                if kind == "post":
                    self.found.sent[name] = heard
            if received:
                raise ValueError(f"received {received[0]}, expected no reply")
        writer.close()


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--boxes", type=int, default=4)
    parser.add_argument("--callers", type=int, default=4, help="for each node")
    parser.add_argument("--work-ms", type=float, default=3.0, help="service time of a call")
    args = parser.parse_args(argv)
    found = asyncio.run(Play(args.seed, args.nodes, args.boxes, args.callers, args.work_ms).run(args.seconds))
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; "
        f"{args.nodes} nodes, {args.boxes} boxes, {args.callers} callers a node, {args.seconds:g} s, seed {args.seed}"
    )
    print(f"{'kills':<44} {found.kills:>8}")
    print(f"{'postings and oneway calls':<44} {len(found.sent):>8}")
    print(f"{'run by servers':<44} {sum(found.ran.values()):>8}")
    print(f"{'run twice':<44} {sum(1 for times in found.ran.values() if times > 1):>8}")
    for words, count in sorted(found.heard.items()):
        print(f"{words:<44} {count:>8}")
    for words in found.broken[:20]:
        print("BROKEN", words)
    return 1 if found.broken else 0


if __name__ == "__main__":
    sys.exit(main())
