"""`loadbalancer xds watch ADDRESS CLUSTER...`: what a control plane would tell a sidecar."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.xds.protocol import Served, XdsClient


def add_arguments(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    watch = actions.add_parser(
        "watch",
        help="print each change of some clusters as it comes into force",
        epilog="Exit codes: 0 each cluster was told in time, 1 one was not, 2 the extra `xds` is not installed.",
    )
    watch.add_argument("address", help="host:port of the control plane")
    watch.add_argument("clusters", nargs="+", metavar="CLUSTER")
    watch.add_argument("--updates", choices=["state", "incremental"], default="incremental")
    watch.add_argument("--seconds", type=float, default=10.0, help="after which it ends (up to 86400)")
    watch.add_argument("--node", default="orchidledge-watch", help="the node's id")
    watch.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    try:
        from loadbalancer.xds import stream  # noqa: F401 - to see whether it can be had
    except ImportError:
        print("loadbalancer: this needs the extra: pip install 'emberring[xds]'", file=sys.stderr)
        return 2
    return asyncio.run(_watch(args))


async def _watch(args: argparse.Namespace) -> int:
    from loadbalancer.xds.protocol import XdsClient
    from loadbalancer.xds.stream import XdsStream

    client = XdsClient(args.node, args.clusters, args.updates == "incremental", time.time_ns() % 2**32)
    shown: dict[str, object] = {}
    began = time.monotonic()

    def on_change() -> None:
        for name in args.clusters:
            served = client.served(name)
            if served is not None and shown.get(name) != served:
                shown[name] = served
                print("\n".join(_lines(name, served, time.monotonic() - began)), flush=True)
        for line in _rejected(client):
            if line not in shown:
                shown[line] = line
                print(line, flush=True)

    stream = XdsStream(args.address, client, lambda: time.time() * 1000.0, on_change)
    stream.start()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(min(args.seconds, 86_400.0))
    stream.close()
    missing = [name for name in args.clusters if client.served(name) is None]
    for name in missing:
        print(f"{name}: nothing was told", file=sys.stderr)
    return 1 if missing else 0


def _lines(name: str, served: Served, after_s: float) -> list[str]:
    if served.cluster is None:
        return [f"{after_s:7.2f} s  {name}: removed"]
    lines = [f"{after_s:7.2f} s  {name}: {len(served.entries)} endpoints"]
    lines += [
        f"           {entry.server.address}  {entry.server.state.value}  weight {entry.server.weight:g}  "
        f"priority {entry.server.priority}  {entry.server.locality}"
        for entry in served.entries
    ]
    return lines + [f"           note: {note}" for note in served.cluster.notes]


def _rejected(client: XdsClient) -> list[str]:
    return [f"           rejected: {row['rejected']}" for row in client.rows(0.0) if row["rejected"]]
