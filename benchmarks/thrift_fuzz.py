"""Fuzzes the Thrift codec with mutated messages: no crash, no memory growth, no loss of framing.

    python -m benchmarks.thrift_fuzz --frames 1000000

Over half of the messages are framed and followed by a valid call: the message after an accepted frame must be that
call. Exit code 1 if a check failed.
"""

from __future__ import annotations

import argparse
import os
import platform
import random
import resource
import struct
import sys
import time
from collections import Counter

from benchmarks.thrift_speed import body
from loadbalancer.thrift.codec import Decoder, encode, transcode
from loadbalancer.thrift.types import Form, Message, MessageKind, ProtocolError

LIMIT = 4096


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Apply one to four mutations: bytes changed, inserted or deleted, or a size set to the maximum or below zero."""
    found = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(found) + 1)
        match rng.randrange(5):
            case 0:
                found[at : at + 1] = rng.randbytes(1)
            case 1:
                found[at:at] = rng.randbytes(rng.randint(1, 8))
            case 2:
                del found[at : at + rng.randint(1, 8)]
            case 3:
                found[at : at + 4] = rng.choice((b"\x7f\xff\xff\xff", b"\xff\xff\xff\xff", b"\x80\0\0\0"))
            case _:
                found[at : at + 1] = b"\xff\x00"
        if not found:
            break
    return bytes(found)


def play(frames: int, seed: int) -> Counter[str]:
    rng, counts = random.Random(seed), Counter[str]()
    calls = [
        Message(form, MessageKind.CALL, b"post", 7, body(form, rows)) for form in Form for rows in (0, 1, 5)
    ]
    for _ in range(frames):
        message = rng.choice(calls)
        good = encode(Message(message.form, MessageKind.CALL, b"good", 8, b"\0"), True)
        payload = mutate(rng, encode(message, False))
        framed = rng.random() < 0.6
        data = struct.pack(">i", len(payload)) + payload + good if framed else payload
        decoder = Decoder(LIMIT)
        try:
            found = list(decoder.feed(data))
            for item in found:
                if isinstance(item, ProtocolError):
                    counts["refused"] += 1
                    continue
                counts["taken"] += 1
                for target in (Form.BINARY, Form.COMPACT):
                    try:
                        transcode(item.body, item.form, target)
                    except ProtocolError:
                        counts["body refused"] += 1
        except Exception as error:
            counts[f"BROKEN {type(error).__name__}: {error}"] += 1
            continue
        if decoder.pending > LIMIT + len(data):
            counts["BROKEN holds too much"] += 1
        # After an accepted frame the decoder must be at the start of the next one.
        taken = [item.name for item in found if isinstance(item, Message)]
        lost = len(found) == 1 and taken != [b"good"] and bool(taken)
        if framed and (lost or (len(taken) == 2 and taken[1] != b"good")):
            counts["BROKEN out of step"] += 1
    return counts


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--frames", type=int, default=1_000_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    began, before = time.perf_counter(), resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    counts = play(args.frames, args.seed)
    grown = (resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before) / 1e3
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; seed {args.seed}"
    )
    print(f"{args.frames} messages in {time.perf_counter() - began:.0f} s, memory grown by {grown:.1f} MB")
    for name, count in sorted(counts.items()):
        print(f"{name:<40} {count:>10}")
    return 1 if any(name.startswith("BROKEN") for name in counts) else 0


if __name__ == "__main__":
    sys.exit(main())
