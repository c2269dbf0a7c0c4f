"""The emulated servers ("boxes") of one zone in one process, so that a zone can be stopped, killed and restarted as a
unit.

    python -m loadbalancer.test_rig.boxes --record b.jsonl --work-ms 20 127.1.2.1:7070 127.1.2.2:7070

Prints the address of each server, then `ready` once all listen, and serves until it is terminated. Four times a second
it appends to `--record` the requests that each server accepted and its crashes, so that the counts survive a kill.
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

RECORD_INTERVAL_S = 0.25


async def serve(args: argparse.Namespace) -> None:
    behaviour = Behaviour(
        work_ms=args.work_ms,
        cores=args.cores,
        cold_from=args.cold_from,
        cold_ms=args.cold_ms,
        overload=args.overload,
    )
    boxes = {address: Box(address, behaviour) for address in args.addresses}
    with args.record.open("a", buffering=1) as record:

        def write_counts() -> None:
            rows = {name: [box.taken, box.crashes] for name, box in boxes.items()}
            record.write(json.dumps({"at": time.monotonic(), "boxes": rows}) + "\n")

        for address, box in boxes.items():
            host, port = parse_address(address)
            box.on_fall = write_counts  # a crash is recorded before its connections are reset
            await box.start(port, host, cold=args.cold)
            print(f"{address} listens on {box.endpoint}")
        print("ready", flush=True)
        end_s = time.monotonic() + args.seconds
        while time.monotonic() < end_s:
            await asyncio.sleep(RECORD_INTERVAL_S)
            write_counts()


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m loadbalancer.test_rig.boxes", description="The emulated servers of one zone."
    )
    parser.add_argument("addresses", nargs="+", help="HOST:PORT of each server, on loopback")
    parser.add_argument("--record", type=Path, required=True, help="file to which the counts are appended")
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--cores", type=int, default=1)
    parser.add_argument("--cold", action="store_true", help="start cold")
    parser.add_argument("--cold-from", type=float, default=0.125)
    parser.add_argument("--cold-ms", type=float, default=6000.0)
    parser.add_argument("--overload", type=float, default=4.0)
    parser.add_argument("--seconds", type=float, default=600.0, help="time after which it exits")
    asyncio.run(serve(parser.parse_args(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
