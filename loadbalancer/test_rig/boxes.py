"""The boxes of one zone, in a process of their own, so that a zone can be stopped, killed and started as one.

    python -m loadbalancer.test_rig.boxes --record b.jsonl --work-ms 20 127.1.2.1:7070 127.1.2.2:7070

Prints where each listens, `ready` once all do, and serves until it is ended. Four times a second it appends to
`--record` what each box has taken and how often it fell over, so that the counts outlast any kill.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from pathlib import Path

from loadbalancer.core.address import parse_address
from loadbalancer.emulator.box import Behaviour, Box

RECORD_S = 0.25


async def serve(args: argparse.Namespace) -> None:
    how = Behaviour(
        work_ms=args.work_ms,
        cores=args.cores,
        cold_from=args.cold_from,
        cold_ms=args.cold_ms,
        overload=args.overload,
    )
    boxes = {address: Box(address, how) for address in args.addresses}
    with args.record.open("a", buffering=1) as record:

        def note() -> None:
            rows = {name: [box.taken, box.fell] for name, box in boxes.items()}
            record.write(json.dumps({"at": time.monotonic(), "boxes": rows}) + "\n")

        for address, box in boxes.items():
            host, port = parse_address(address)
            box.on_fall = note  # a fall is written down before anything else happens
            await box.start(port, host, cold=args.cold)
            print(f"{address} listens on {box.endpoint}")
        print("ready", flush=True)
        until = time.monotonic() + args.seconds
        while time.monotonic() < until:
            await asyncio.sleep(RECORD_S)
            note()


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m loadbalancer.test_rig.boxes", description="Boxes of one zone."
    )
    parser.add_argument("addresses", nargs="+", help="HOST:PORT of each box, on loopback")
    parser.add_argument("--record", type=Path, required=True, help="file that the counts are appended to")
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--cores", type=int, default=1)
    parser.add_argument("--cold", action="store_true", help="they have just been started")
    parser.add_argument("--cold-from", type=float, default=0.125)
    parser.add_argument("--cold-ms", type=float, default=6000.0)
    parser.add_argument("--overload", type=float, default=4.0)
    parser.add_argument("--seconds", type=float, default=600.0, help="after which it ends by itself")
    asyncio.run(serve(parser.parse_args(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
