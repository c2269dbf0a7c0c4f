"""`loadbalancer sidecar CONFIG`: run until SIGTERM or SIGINT; SIGHUP reloads the file."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import resource
import sys

from loadbalancer.core.descriptors import descriptors_here
from loadbalancer.core.shutdown import signals
from loadbalancer.core.turns import TurnLoop
from loadbalancer.runtime.building import ReloadError, descriptors_of
from loadbalancer.runtime.sidecar import ListenAddressError, Sidecar
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.load import UnusableError, read
from loadbalancer.sidecar.models import Configuration

log = logging.getLogger("loadbalancer")
# Garbage collection thresholds of the three generations: new objects, then collections of the younger generation.
GC_THRESHOLDS = 5000, 20, 50


class BadConfigurationError(Exception):
    """The configuration can't be used; the text has one mistake on each line."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("configuration", help="configuration file, as written by `loadbalancer config write`")
    parser.epilog = (
        "SIGHUP reloads the file, completely or not at all; SIGTERM finishes open requests and exits. "
        "Exit codes: 0 stopped by a signal, 1 an address is not available, 2 bad configuration."
    )
    parser.set_defaults(run=run)


def load(path: str) -> Configuration:
    """The configuration in a file; BadConfigurationError with all its mistakes."""
    try:
        document = read(path)
    except UnusableError as error:
        raise BadConfigurationError(str(error)) from error
    check(document, descriptors_here())
    if not document.mistakes and not isinstance(document.model, Configuration):
        raise BadConfigurationError(f"{path}: kind is {document.kind!r}, and a configuration is wanted here")
    if document.mistakes:
        raise BadConfigurationError("\n".join(str(mistake) for mistake in document.mistakes))
    model: Configuration = document.model
    return model


def _raise_descriptor_limit(descriptors: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard))


async def serve(path: str) -> int:
    stop, hangup = signals()
    try:
        configuration = load(path)
    except BadConfigurationError as error:
        print(error, file=sys.stderr)
        return 2
    _raise_descriptor_limit(descriptors_of(configuration))
    sidecar = Sidecar(configuration)
    try:
        await sidecar.start()
    except ReloadError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    reloading = asyncio.create_task(_reload(sidecar, path, hangup))
    gc.collect()
    gc.freeze()  # start-up objects live until exit, so later collections can skip them
    # Guard: with the default thresholds and hundreds of open requests, full collections run a hundred times a second.
    gc.set_threshold(*GC_THRESHOLDS)
    _log_addresses(sidecar)
    await stop.wait()
    reloading.cancel()
    log.info("%s stops", configuration.name)
    await sidecar.stop()
    return 0


def _log_addresses(sidecar: Sidecar) -> None:
    for name, item in sidecar.listeners.items():
        host, port = item.front.server.address
        log.info("%s: listener %s on %s:%d", sidecar.configuration.name, name, host, port)
    if sidecar.admin is not None:
        log.info("%s: admin on %s:%d", sidecar.configuration.name, *sidecar.admin.server.address)
    log.info("%s: configuration %s is in force", sidecar.configuration.name, sidecar.digest[:16])


async def _reload(sidecar: Sidecar, path: str, hangup: asyncio.Event) -> None:
    """Reload the file at each SIGHUP; after a bad file the current configuration stays active."""
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            # Loaded in a thread: checking a large file on the event loop would delay requests.
            configuration = await asyncio.to_thread(load, path)
            _raise_descriptor_limit(descriptors_of(configuration))
            await sidecar.reload(configuration)
        except (BadConfigurationError, ReloadError, OSError) as error:
            sidecar.reject(str(error))
            log.error("bad configuration, the one in force stays:\n%s", error)
        else:
            _log_addresses(sidecar)


def run(args: argparse.Namespace) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        with asyncio.Runner(loop_factory=TurnLoop) as runner:
            return runner.run(serve(args.configuration))
    except ListenAddressError as error:
        print(f"{args.configuration}: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return 1
