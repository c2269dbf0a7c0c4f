"""`loadbalancer xds watch ADDRESS CLUSTER...`: show what a control plane sends to a sidecar."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loadbalancer.xds.protocol import ActiveCluster, XdsClient


def add_arguments(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    watch = actions.add_parser(
        "watch",
        help="print each change of the given clusters when it takes effect",
        epilog="Exit codes: 0 all clusters were received in time, 1 one was not, 2 the extra `xds` is not installed.",
    )
    watch.add_argument("address", help="host:port of the control plane")
    watch.add_argument("clusters", nargs="+", metavar="CLUSTER")
    watch.add_argument("--updates", choices=["state", "incremental"], default="incremental")
    watch.add_argument("--seconds", type=float, default=10.0, help="run time (up to 86400)")
    watch.add_argument("--node", default="orchidledge-watch", help="node id sent to the control plane")
    watch.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    try:
        from loadbalancer.xds import stream  # noqa: F401 - checks that the extra is installed
    except ImportError:
        print("loadbalancer: this needs the extra: pip install 'emberring[xds]'", file=sys.stderr)
        return 2
    return asyncio.run(_watch(args))


async def _watch(args: argparse.Namespace) -> int:
    from loadbalancer.xds.protocol import XdsClient
    from loadbalancer.xds.stream import XdsStream

    client = XdsClient(args.node, args.clusters, args.updates == "incremental", time.time_ns() % 2**32)
    printed: dict[str, object] = {}
    start = time.monotonic()

    def on_change() -> None:
        for name in args.clusters:
            served = client.served(name)
            if served is not None and printed.get(name) != served:
                printed[name] = served
                print("\n".join(_cluster_lines(name, served, time.monotonic() - start)), flush=True)
        for line in _rejection_lines(client):
            if line not in printed:
                printed[line] = line
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


def _cluster_lines(name: str, served: ActiveCluster, after_s: float) -> list[str]:
    if served.cluster is None:
        return [f"{after_s:7.2f} s  {name}: removed"]
    lines = [f"{after_s:7.2f} s  {name}: {len(served.entries)} endpoints"]
    lines += [
        f"           {entry.server.address}  {entry.server.state.value}  weight {entry.server.weight:g}  "
        f"priority {entry.server.priority}  {entry.server.locality}"
        for entry in served.entries
    ]
    return lines + [f"           note: {note}" for note in served.cluster.notes]


def _rejection_lines(client: XdsClient) -> list[str]:
    return [f"           rejected: {row['rejected']}" for row in client.rows(0.0) if row["rejected"]]
