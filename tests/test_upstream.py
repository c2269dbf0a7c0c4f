"""Attempts and pooled upstream connections against scripted servers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest
from loopback import BlockedServer, Message, Peer, reply, until

from loadbalancer.core.connection_pool import MAX_OPENING
from loadbalancer.core.outgoing import readable
from loadbalancer.http.client import ClientConnection, Response
from loadbalancer.http.connection_pool import HttpConnectionPool
from loadbalancer.interface import Result
from loadbalancer.node.front import PlatformWire
from loadbalancer.overload.turns import Turns

DATA = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"


class RawBytesWire(PlatformWire):
    """A wire format whose messages are the bytes to send."""

    def __init__(self) -> None:
        super().__init__(())

    def encode(self, message, wait_s):
        return message(wait_s) if callable(message) else message


def pool(**more: float) -> HttpConnectionPool:
    given = {"limit": 10, "server_idle_s": 10.0, "connect_timeout_s": 20.0} | more
    return HttpConnectionPool(
        int(given["limit"]), given["server_idle_s"], given["connect_timeout_s"], RawBytesWire()
    )


async def result(pool: HttpConnectionPool, timeout_s: float = 20.0, data: bytes = DATA) -> Result:
    done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    # set_result raises InvalidStateError on a second result
    pool.send("s", data, timeout_s, lambda result, response, report, own: done.set_result(result))
    return await done


def server_answering(answer: bytes | None) -> Peer:
    async def script(message: Message) -> bytes | None:
        return answer

    return Peer(script)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (reply(200), Result.OK),
        (reply(500), Result.ERROR),
        (reply(503, Srv_Declined="1"), Result.FULL),
        (reply(504, Srv_Declined="1"), Result.FULL),
        (reply(503), Result.ERROR),
        (reply(504), Result.ERROR),
        (reply(418), Result.ERROR),
        (reply(200, Srv_Declined="1"), Result.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200), Result.OK),
        (None, Result.RESET),
        (b"not http at all\r\n\r\n", Result.RESET),
    ],
)
def test_each_response_has_the_outcome_of_the_protocols_table(answer, expected):
    async def main():
        server, servers = await server_answering(answer).start(), pool()
        servers.add("s", ("127.0.0.1", server.port))
        assert await result(servers) is expected
        assert len(server.seen) == 1  # the pool itself never retries
        servers.close()
        server.stop()

    asyncio.run(main())


def test_a_truncated_response_is_a_reset():
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        servers = pool()
        servers.add("s", server.sockets[0].getsockname())
        assert await result(servers) is Result.RESET
        server.close()

    asyncio.run(main())


def test_a_refused_connection_is_connect_failed():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        servers = pool()
        servers.add("s", address)
        assert await result(servers) is Result.CONNECT_FAILED
        await until(lambda: not servers.size)

    asyncio.run(main())


def test_no_response_is_a_timeout_and_closes_the_connection():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers = pool()
            servers.add("s", listener.getsockname())
            assert await result(servers, timeout_s=0.2) is Result.TIMEOUT
            peer, _ = listener.accept()
            with peer:
                assert peer.recv(1000) == DATA
                await asyncio.sleep(0)  # asyncio closes the socket in the next turn of the loop
                peer.settimeout(20)
                assert peer.recv(1000) == b""

    asyncio.run(main())


def test_a_reset_before_the_last_byte_is_written_is_connect_failed():
    async def main():
        with socket.create_server(("127.0.0.1", 0)) as listener:
            servers = pool()
            servers.add("s", listener.getsockname())
            outcome = asyncio.create_task(result(servers, data=b"x" * 30_000_000))
            loop = asyncio.get_running_loop()
            listener.setblocking(False)
            peer, _ = await loop.sock_accept(listener)
            peer.setblocking(False)
            await loop.sock_recv(peer, 1000)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()
            assert await outcome is Result.CONNECT_FAILED

    asyncio.run(main())


class RecordingExchange:
    def __init__(self) -> None:
        self.events: list[object] = []

    def answered(self, response: Response) -> None:
        self.events.append(response)

    def lost(self, written: bool) -> None:
        self.events.append(written)


@contextlib.asynccontextmanager
async def pair():
    """Yield a connection and the raw socket of its peer, which works without the event loop."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(lambda _: None), *listener.getsockname()
        )
        peer, _ = listener.accept()
        with peer:
            yield connection, peer
        connection.abort()


def test_a_write_that_fails_at_once_counts_as_not_written():
    async def main():
        async with pair() as (connection, peer):
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()
            while not readable(connection._transport):
                pass
            exchange = RecordingExchange()
            connection.start(DATA, exchange)
            while not exchange.events:
                await asyncio.sleep(0)
            assert exchange.events == [False]

    asyncio.run(main())


def test_a_close_that_the_loop_has_not_read_makes_a_connection_unusable():
    async def main():
        async with pair() as (connection, peer):
            assert connection.usable
            peer.close()
            while not readable(connection._transport):
                pass
            assert not connection.usable  # before the event loop has read the close

    asyncio.run(main())


@pytest.mark.parametrize("answer", [reply(200, Connection="close"), reply(200) + b"more", reply(200) * 2])
def test_a_connection_that_closes_or_has_extra_bytes_is_not_reused(answer):
    async def main():
        server, servers = await server_answering(answer).start(), pool()
        servers.add("s", ("127.0.0.1", server.port))
        assert [await result(servers) for _ in range(2)] == [Result.OK, Result.OK]
        assert server.connections == 2
        servers.close()
        server.stop()

    asyncio.run(main())


def test_the_newest_idle_connection_is_used_first_and_an_expired_one_never():
    async def main():
        server, servers = await Peer().start(), pool()
        servers.add("s", ("127.0.0.1", server.port))
        await asyncio.gather(result(servers), result(servers))
        assert server.connections == 2
        idle = servers._servers["s"].idle
        old, new = idle
        assert servers.take_idle(servers._servers["s"]) is new
        servers.release(servers._servers["s"], new, 0.01)
        for connection in idle:  # as if 5 of the 10 seconds of the idle timeout had passed
            connection.idle_since -= 5.0
        assert await result(servers) is Result.OK
        assert server.connections == 3
        assert old._transport.is_closing()
        assert new._transport.is_closing()
        servers.close()
        server.stop()

    asyncio.run(main())


def test_idle_connections_are_closed_after_the_idle_timeout():
    async def main():
        server, servers = await Peer().start(), pool(server_idle_s=0.1)
        servers.add("s", ("127.0.0.1", server.port))
        await result(servers)
        await until(lambda: not servers.size)
        servers.close()
        server.stop()

    asyncio.run(main())


@contextlib.contextmanager
def full_backlog():
    """Yield a listener whose backlog is full, so that connects never complete."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener


def test_a_connect_timeout_is_connect_failed():
    async def main():
        with full_backlog() as listener:
            servers = pool(connect_timeout_s=0.1)
            servers.add("s", listener.getsockname())
            assert await result(servers) is Result.CONNECT_FAILED
            servers = pool()
            servers.add("s", listener.getsockname())
            assert await result(servers, timeout_s=0.1) is Result.CONNECT_FAILED  # it was not sent either

    asyncio.run(main())


def test_a_drain_fails_attempts_that_wait_to_connect_and_closes_idle_connections():
    async def main():
        with full_backlog() as listener:
            servers = pool()
            servers.add("s", listener.getsockname())
            outcome = asyncio.create_task(result(servers))
            await until(lambda: servers.size)
            servers.remove("s")
            assert await outcome is Result.CONNECT_FAILED
            await until(lambda: not servers.size)
            assert servers.send("s", lambda wait: DATA, 1.0, lambda *_: None) is None

    asyncio.run(main())


def test_a_pending_attempt_is_still_answered_when_its_server_drains():
    async def main():
        server, servers = BlockedServer(), pool()
        await server.start()
        servers.add("s", ("127.0.0.1", server.port))
        outcome = asyncio.create_task(result(servers))
        await until(lambda: server.seen)
        servers.remove("s")
        server.release.set()
        assert await outcome is Result.OK
        await asyncio.sleep(0)
        assert servers.size == 0  # its connection is closed
        server.stop()

    asyncio.run(main())


def test_the_pool_keeps_to_its_limit_by_closing_idle_connections_first():
    async def main():
        quiet, busy, servers = await Peer().start(), BlockedServer(), pool(limit=2)
        await busy.start()
        servers.add("s", ("127.0.0.1", quiet.port))
        assert await result(servers) is Result.OK
        servers.add("s2", ("127.0.0.1", busy.port))
        results: list[Result] = []
        for _ in range(3):
            servers.send("s2", lambda wait: DATA, 20.0, lambda result, *_: results.append(result))
        assert servers._servers["s"].idle == []
        assert servers.waiting == 1  # the third one, because both connections are busy
        busy.release.set()
        await until(lambda: len(results) == 3)
        assert results == [Result.OK] * 3
        assert (servers.waiting, busy.connections) == (0, 2)
        servers.close()
        quiet.stop()
        busy.stop()

    asyncio.run(main())


@pytest.mark.parametrize("read", [False, True])
def test_buffered_bytes_count_as_written_once_they_have_been_sent(read):
    async def main():
        async with pair() as (connection, peer):
            transport = connection._transport
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
            while not transport.get_write_buffer_size():  # until the kernel buffer is full
                transport.write(b"x" * 1000)
            connection.start(DATA, exchange := RecordingExchange())
            assert 0 < transport.get_write_buffer_size() <= 1000 + len(DATA)
            peer.setblocking(False)
            while read and transport.get_write_buffer_size():
                with contextlib.suppress(BlockingIOError):
                    peer.recv(1_000_000)
                await asyncio.sleep(0)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.close()
            await until(lambda: exchange.events)
            assert exchange.events == [read]

    asyncio.run(main())


class BusyTurns(Turns):
    """Turns of an event loop that is always busy while `own` is set."""

    own = True

    @property
    def own_time_s(self) -> float:
        return asyncio.get_running_loop().time() if self.own else 0.0


def test_the_connect_timeout_counts_only_free_time_of_the_loop_and_queued_attempts_share_it():
    async def main():
        idle, busy = pool(connect_timeout_s=0.01), pool(connect_timeout_s=0.01)
        busy.turns = BusyTurns()
        opened = dict.fromkeys((idle, busy), 0)

        def never(back):
            async def connect(endpoint):
                opened[back] += 1
                await asyncio.Event().wait()

            return connect

        asked = {}
        for back in opened:
            back.limit, back.open = 10 * MAX_OPENING, never(back)
            back.add("s", ("127.0.0.1", 9))
            asked[back] = [asyncio.create_task(result(back)) for _ in range(MAX_OPENING + 3)]
        # Attempts that were connecting fail, and the ones queued behind them fail too, without a connect.
        assert set(await asyncio.gather(*asked[idle])) == {Result.CONNECT_FAILED}
        assert not any(task.done() for task in asked[busy])
        assert opened == {idle: MAX_OPENING, busy: MAX_OPENING}
        BusyTurns.own = False
        assert set(await asyncio.gather(*asked[busy])) == {Result.CONNECT_FAILED}
        assert opened[busy] == MAX_OPENING

    asyncio.run(main())


def test_an_attempt_queued_behind_connects_uses_the_first_free_connection():
    async def main():
        held = BlockedServer()
        server, servers = await held.start(), pool(limit=10 * MAX_OPENING)
        servers.add("s", ("127.0.0.1", server.port))
        first = asyncio.create_task(result(servers))
        await until(lambda: len(servers._open) == 1 and not servers._opening)

        async def never(endpoint):
            await asyncio.Event().wait()

        servers.open = never
        rest = [asyncio.create_task(result(servers)) for _ in range(MAX_OPENING + 1)]
        await until(lambda: servers.size == MAX_OPENING + 1)
        held.release.set()
        assert (await first, await rest[-1]) == (Result.OK, Result.OK)
        assert not any(task.done() for task in rest[:-1])
        servers.close()
        assert set(await asyncio.gather(*rest[:-1])) == {Result.CONNECT_FAILED}

    asyncio.run(main())


def test_a_timeout_in_the_queue_of_the_pool_is_no_room():
    async def main():
        held = BlockedServer()
        server, servers = await held.start(), pool(limit=1)
        servers.add("s", ("127.0.0.1", server.port))
        first = asyncio.create_task(result(servers))
        await until(lambda: held.seen)
        assert await result(servers, timeout_s=0.01) is Result.NO_ROOM
        held.release.set()
        assert await first is Result.OK

    asyncio.run(main())
