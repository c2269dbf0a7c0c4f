"""`loadbalancer sidecar CONFIG`: run until SIGTERM or SIGINT; SIGHUP puts the file in force anew."""

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
from loadbalancer.runtime.sidecar import PlacedError, Sidecar
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.load import UnusableError, read
from loadbalancer.sidecar.models import Configuration

log = logging.getLogger("loadbalancer")
COLLECT = 5000, 20, 50  # new objects, and collections of the younger, before a generation is collected


class BadConfigurationError(Exception):
    """Each line is a mistake."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("configuration", help="the file that `loadbalancer config write` has written")
    parser.epilog = (
        "SIGHUP reads the file again and puts it in force whole or not at all; SIGTERM finishes what is open. "
        "Exit codes: 0 ended by a signal, 1 an address can't be had, 2 bad configuration."
    )
    parser.set_defaults(run=run)


def load(path: str) -> Configuration:
    """The configuration of a file; BadConfigurationError with all that is wrong."""
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


def _allow(descriptors: int) -> None:
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
    _allow(descriptors_of(configuration))
    sidecar = Sidecar(configuration)
    try:
        await sidecar.start()
    except ReloadError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    reloading = asyncio.create_task(_reload(sidecar, path, hangup))
    gc.collect()
    gc.freeze()  # what is there for good need not be looked at again
    # Guard: with hundreds of requests open the collector went through them all a hundred times a second.
    gc.set_threshold(*COLLECT)
    _say_where(sidecar)
    await stop.wait()
    reloading.cancel()
    log.info("%s stops", configuration.name)
    await sidecar.stop()
    return 0


def _say_where(sidecar: Sidecar) -> None:
    for name, item in sidecar.listeners.items():
        host, port = item.front.server.address
        log.info("%s: listener %s on %s:%d", sidecar.configuration.name, name, host, port)
    if sidecar.admin is not None:
        log.info("%s: admin on %s:%d", sidecar.configuration.name, *sidecar.admin.server.address)
    log.info("%s: configuration %s is in force", sidecar.configuration.name, sidecar.digest[:16])


async def _reload(sidecar: Sidecar, path: str, hangup: asyncio.Event) -> None:
    """Read the file again at each hang-up; a bad one leaves the configuration that is in force."""
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            # Read aside: a large file checked on the loop would hold up requests.
            configuration = await asyncio.to_thread(load, path)
            _allow(descriptors_of(configuration))
            await sidecar.reload(configuration)
        except (BadConfigurationError, ReloadError, OSError) as error:
            sidecar.reject(str(error))
            log.error("bad configuration, the one in force stays:\n%s", error)
        else:
            _say_where(sidecar)


def run(args: argparse.Namespace) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        with asyncio.Runner(loop_factory=TurnLoop) as runner:
            return runner.run(serve(args.configuration))
    except PlacedError as error:
        print(f"{args.configuration}: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return 1
