"""Calls between nodes over real sockets: the error that the caller receives for each kind of peer failure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import attrs
import orjson
import pytest

from emberring.emulator.waiting import wait_until
from emberring.errors import (
    FencedError,
    InternalError,
    PeerTimeoutError,
    PeerUnavailableError,
    ProtocolViolationError,
)
from emberring.transport import client_connection, connection
from emberring.transport.messages import Envelope, encode, message
from emberring.transport.network import Caller, Network

SHORT_S = 0.15
LONG_S = 5.0


@message("test.echo")
@attrs.frozen
class Echo:
    """A call whose reply is the call itself."""

    text: str = ""


@message("test.other")
@attrs.frozen
class Other:
    """A message without a handler."""


async def echo(request: Echo, caller: Caller) -> Echo:
    return request


def run_test(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(20):
            await test()

    asyncio.run(run())


class Pair:
    """A client and a server on loopback."""

    async def __aenter__(self) -> Pair:
        self.client, self.server = Network(), Network()
        self.server.handle(Echo, echo)
        await self.server.listen("127.0.0.1:0")
        assert self.server._server is not None
        self.address = f"127.0.0.1:{self.server._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.client.close()
        await self.server.close()

    async def call_echo(self, text: str, timeout_s: float = LONG_S) -> str:
        return (await self.client.call(self.address, Echo(text), Echo, timeout_s)).text


class RawPeer:
    """A peer that handles each connection by a function of the test."""

    def __init__(
        self, serve_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
    ):
        self._serve_connection = serve_connection
        self.connections = 0

    async def __aenter__(self) -> RawPeer:
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.client = Network()
        return self

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await self._serve_connection(reader, writer)

    async def __aexit__(self, *_: object) -> None:
        await self.client.close()
        self._server.close()

    async def call_echo(self, timeout_s: float = LONG_S) -> Echo:
        return await self.client.call(self.address, Echo("x"), Echo, timeout_s)


# ------------------------------------------------------------------ ordinary calls


def test_many_calls_on_one_connection_each_get_their_reply():
    async def test() -> None:
        async with Pair() as pair:
            texts = [str(number) for number in range(200)]
            assert await asyncio.gather(*(pair.call_echo(text) for text in texts)) == texts
            assert len(pair.server.connections) == 1

    run_test(test)


def test_a_slow_call_does_not_delay_the_others():
    async def test() -> None:
        async with Pair() as pair:
            released = asyncio.Event()

            async def wait(request: Echo, caller: Caller) -> Echo:
                if request.text == "slow":
                    await released.wait()
                return request

            pair.server.handle(Echo, wait)
            slow = asyncio.create_task(pair.call_echo("slow"))
            assert await pair.call_echo("quick") == "quick"
            assert not slow.done()
            released.set()
            assert await slow == "slow"

    run_test(test)


def test_a_call_that_cannot_be_encoded_leaves_nothing_in_flight():
    async def test() -> None:
        async with Pair() as pair:
            assert await pair.call_echo("before") == "before"
            with pytest.raises(TypeError):
                await pair.client.call(pair.address, Echo(text=object()), Echo, LONG_S)  # type: ignore[arg-type]
            (connection,) = pair.client.connections
            assert connection._calls_in_flight == {}
            assert await pair.call_echo("after") == "after"

    run_test(test)


def test_errors_of_handlers_are_raised_as_their_kind():
    async def test() -> None:
        async with Pair() as pair:

            async def fail(request: Echo, caller: Caller) -> Echo:
                if request.text == "fenced":
                    raise FencedError("term 7")
                raise ZeroDivisionError("oops")

            pair.server.handle(Echo, fail)
            with pytest.raises(FencedError, match="term 7"):
                await pair.call_echo("fenced")
            with pytest.raises(InternalError, match="oops"):
                await pair.call_echo("other")
            with pytest.raises(ProtocolViolationError):
                await pair.client.call(pair.address, Other(), Other, LONG_S)

    run_test(test)


def test_a_reply_of_another_class_is_a_protocol_violation():
    async def test() -> None:
        async with Pair() as pair:
            with pytest.raises(ProtocolViolationError):
                await pair.client.call(pair.address, Echo("x"), Other, LONG_S)

    run_test(test)


def test_a_one_way_message_is_delivered_and_its_failure_ignored():
    async def test() -> None:
        async with Pair() as pair:
            received: list[str] = []

            async def record(request: Echo, caller: Caller) -> Echo:
                received.append(request.text)
                raise FencedError("not reported")

            pair.server.handle(Echo, record)
            await pair.client.tell(pair.address, Echo("hint"))
            assert await wait_until(lambda: received == ["hint"], LONG_S)
            await pair.server.close()
            await pair.client.tell("127.0.0.1:1", Echo("lost"))

    run_test(test)


# ------------------------------------------------------------------ failing peers


def test_a_call_to_an_address_without_a_listener_is_not_sent():
    async def test() -> None:
        client = Network()
        with pytest.raises(PeerUnavailableError):
            await client.call("127.0.0.1:1", Echo("x"), Echo, LONG_S)
        await client.close()

    run_test(test)


async def never_reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


async def close_after_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.close()


async def send_incomplete_reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(b'{"i": -1, "k": "test.echo"')
    writer.close()


async def send_invalid_line(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(b"nonsense\n")
    await reader.read()
    writer.close()


async def reply_to_another_call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(encode(Envelope(-4711, Echo("not for you"))))
    await reader.read()
    writer.close()


@pytest.mark.parametrize(
    "serve_connection",
    [never_reply, close_after_reading, send_incomplete_reply, send_invalid_line, reply_to_another_call],
)
def test_without_a_reply_the_outcome_is_unknown(serve_connection):
    async def test() -> None:
        async with RawPeer(serve_connection) as peer:
            with pytest.raises(PeerTimeoutError):
                await peer.call_echo(SHORT_S)

    run_test(test)


def test_a_connection_with_consecutive_timeouts_is_replaced():
    async def test() -> None:
        async with RawPeer(never_reply) as peer:
            for _ in range(client_connection.MAX_CONSECUTIVE_TIMEOUTS + 1):
                with pytest.raises(PeerTimeoutError):
                    await peer.call_echo(SHORT_S)
            assert peer.connections == 2

    run_test(test)


def test_a_restarted_peer_is_reached_again():
    async def test() -> None:
        async with Pair() as pair:
            assert await pair.call_echo("before") == "before"
            await pair.server.close()
            assert await wait_until(lambda: not pair.client.connections, LONG_S)
            with pytest.raises(PeerUnavailableError):
                await pair.call_echo("down", SHORT_S)
            restarted = Network()
            restarted.handle(Echo, echo)
            await restarted.listen(pair.address)
            assert await pair.call_echo("after") == "after"
            await restarted.close()

    run_test(test)


def test_calls_to_a_peer_that_does_not_read_fail_at_once(monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_UNSENT_BYTES", 1000)

    async def never_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]

    async def test() -> None:
        async with RawPeer(never_read) as peer:
            large = Echo("x" * 30_000_000)
            first = asyncio.create_task(peer.client.call(peer.address, large, Echo, LONG_S))
            assert await wait_until(lambda: peer.client.sent_bytes > 0, LONG_S)
            with pytest.raises(PeerUnavailableError):
                await peer.call_echo(SHORT_S)
            first.cancel()

    run_test(test)


# ------------------------------------------------------------------ invalid bytes


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\n",
        b"\x00\xff\n",
        b"\n",
        b"GET / HTTP/1.1\r\n\r\n",
        orjson.dumps({"i": 1, "k": "no.such", "b": {}}) + b"\n",
        orjson.dumps({"i": "1", "k": "test.echo", "b": {}}) + b"\n",
    ],
)
def test_invalid_bytes_abort_only_their_connection(data):
    async def test() -> None:
        async with Pair() as pair:
            assert await pair.call_echo("good") == "good"
            host, _, port = pair.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), LONG_S)
            writer.close()
            assert await pair.call_echo("still good") == "still good"
            assert len(pair.server.connections) == 1

    run_test(test)


def test_a_line_over_the_limit_aborts_its_connection(monkeypatch):
    monkeypatch.setattr(connection, "MAX_LINE_BYTES", 10_000)

    async def test() -> None:
        async with Pair() as pair:
            host, _, port = pair.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"x" * 20_000)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), LONG_S)
            writer.close()
            assert await pair.call_echo("good") == "good"

    run_test(test)


@pytest.mark.parametrize("size", [1, 2, 7, 64])
def test_lines_are_read_in_chunks_of_any_size(size):
    async def test() -> None:
        async with Pair() as pair:
            host, _, port = pair.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = b"".join(encode(Envelope(number, Echo("text" * number))) for number in (1, 2, 3))
            for start in range(0, len(sent), size):
                writer.write(sent[start : start + size])
                await writer.drain()
            replies = [orjson.loads(await asyncio.wait_for(reader.readline(), LONG_S)) for _ in range(3)]
            assert sorted(reply["i"] for reply in replies) == [-3, -2, -1]
            writer.close()

    run_test(test)
