"""The control role: a replica of the register, the operators' interface, and the servers' heartbeats."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from emberring.control.http_server import HttpServer
from emberring.control.node import ControlNode
from emberring.control.peer_cache import PeerCache
from emberring.logs import get_logger
from emberring.register.service import RegisterService
from emberring.settings import CONTROL_PORT_OFFSET, Settings
from emberring.transport.network import Network

SHUTDOWN_NOTICE_S = 0.3  # from the announcement of the shutdown to its start

logger = get_logger("control")


async def run(settings: Settings) -> None:
    """Run until SIGTERM."""
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, shutdown_requested.set)
    loop.add_signal_handler(signal.SIGINT, shutdown_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)  # this role has no settings to reload
    network = Network()
    register = RegisterService(settings, network, Path(settings.data_dir) / "register")
    await register.start()
    peer_cache = PeerCache(Path(settings.data_dir) / "control-nodes")
    node = ControlNode(settings, network, register, peer_cache=peer_cache)
    await network.listen(settings.internal_address(CONTROL_PORT_OFFSET))
    node.start()
    http = HttpServer(node.app, settings.listen.control_plane)
    await http.start()
    logger.info("event=control_started identity=%s", register.identity)
    await shutdown_requested.wait()
    node.announce_shutdown()
    await asyncio.sleep(SHUTDOWN_NOTICE_S)
    await http.stop()
    await node.stop()
    await register.stop()
    await network.close()
