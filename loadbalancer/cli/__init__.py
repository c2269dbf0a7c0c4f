"""The `loadbalancer` command: one module a subcommand, imported when it is asked for."""

from __future__ import annotations

import argparse
import sys
from importlib import import_module

COMMANDS = {
    "try": ("trial", "run a sidecar against stand-in boxes for some seconds and show what happened"),
    "sidecar": ("sidecar", "run a sidecar from a configuration"),
    "budgets": (
        "budgets",
        "show what running sidecars spend on retries, and how much time requests have left",
    ),
    "xds": ("xds", "see what an xDS control plane would tell a sidecar"),
    "lab": ("lab", "run and compare experiments on a model of what is balanced"),
    "config": ("config", "write, check, explain and compare configurations"),
}


def main(argv: list[str] | None = None) -> int:
    """Run a subcommand; returns its exit code."""
    parser = argparse.ArgumentParser(
        prog="loadbalancer",
        description="A load-balancing sidecar for services that call services in tiers.",
        epilog="Begin with `loadbalancer try`. Each command has a --help of its own.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    words = sys.argv[1:] if argv is None else argv
    for name, (module, text) in COMMANDS.items():
        command = commands.add_parser(name, help=text, description=text[0].upper() + text[1:] + ".")
        if words and words[0] == name:
            import_module(f"loadbalancer.cli.{module}").add_arguments(command)
    args = parser.parse_args(words)
    result: int = args.run(args)
    return result
