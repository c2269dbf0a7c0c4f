"""The `loadbalancer` command. Each subcommand is a module, which is imported only when it is used."""

from __future__ import annotations

import argparse
import sys
from importlib import import_module

COMMANDS = {
    "try": ("trial", "run a sidecar against emulated servers for some seconds and show the results"),
    "sidecar": ("sidecar", "run a sidecar from a configuration"),
    "budgets": (
        "budgets",
        "show what running sidecars spend on retries, and how much time requests have left",
    ),
    "xds": ("xds", "show what an xDS control plane sends to a sidecar"),
    "lab": ("lab", "run and compare experiments on a model of servers and load balancers"),
    "config": ("config", "write, check, explain and compare configurations"),
}


def main(argv: list[str] | None = None) -> int:
    """Run a subcommand; returns its exit code."""
    parser = argparse.ArgumentParser(
        prog="loadbalancer",
        description="A load-balancing sidecar for services that call services in tiers.",
        epilog="Start with `loadbalancer try`. Each command has its own --help.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    arguments = sys.argv[1:] if argv is None else argv
    for name, (module, summary) in COMMANDS.items():
        command = commands.add_parser(name, help=summary, description=summary[0].upper() + summary[1:] + ".")
        if arguments and arguments[0] == name:
            import_module(f"loadbalancer.cli.{module}").add_arguments(command)
    args = parser.parse_args(arguments)
    result: int = args.run(args)
    return result
