"""Calls between nodes over real sockets: what a caller may conclude from each way in which a peer fails."""

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
    """Says itself back."""

    text: str = ""


@message("test.other")
@attrs.frozen
class Other:
    """A message that no one handles here."""


async def echo(asked: Echo, caller: Caller) -> Echo:
    return asked


def play(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        async with asyncio.timeout(20):
            await test()

    asyncio.run(run())


class Pair:
    """A caller and an answering node on loopback."""

    async def __aenter__(self) -> Pair:
        self.here, self.there = Network(), Network()
        self.there.handle(Echo, echo)
        await self.there.listen("127.0.0.1:0")
        assert self.there._server is not None
        self.address = f"127.0.0.1:{self.there._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.here.close()
        await self.there.close()

    async def say(self, text: str, timeout_s: float = LONG_S) -> str:
        return (await self.here.call(self.address, Echo(text), Echo, timeout_s)).text


class RawPeer:
    """A peer that does what a test says with each connection."""

    def __init__(self, answer: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]):
        self._answer = answer
        self.connections = 0

    async def __aenter__(self) -> RawPeer:
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.here = Network()
        return self

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await self._answer(reader, writer)

    async def __aexit__(self, *_: object) -> None:
        await self.here.close()
        self._server.close()

    async def say(self, timeout_s: float = LONG_S) -> Echo:
        return await self.here.call(self.address, Echo("x"), Echo, timeout_s)


# ------------------------------------------------------------------ ordinary calls


def test_many_calls_on_one_connection_each_get_their_reply():
    async def test() -> None:
        async with Pair() as pair:
            texts = [str(number) for number in range(200)]
            assert await asyncio.gather(*(pair.say(text) for text in texts)) == texts
            assert len(pair.there.connections) == 1

    play(test)


def test_a_slow_call_does_not_delay_the_others():
    async def test() -> None:
        async with Pair() as pair:
            free = asyncio.Event()

            async def wait(asked: Echo, caller: Caller) -> Echo:
                if asked.text == "slow":
                    await free.wait()
                return asked

            pair.there.handle(Echo, wait)
            slow = asyncio.create_task(pair.say("slow"))
            assert await pair.say("quick") == "quick"
            assert not slow.done()
            free.set()
            assert await slow == "slow"

    play(test)


def test_a_call_that_can_not_be_encoded_leaves_nothing_in_flight():
    async def test() -> None:
        async with Pair() as pair:
            assert await pair.say("before") == "before"
            with pytest.raises(TypeError):
                await pair.here.call(pair.address, Echo(text=object()), Echo, LONG_S)  # type: ignore[arg-type]
            (connection,) = pair.here.connections
            assert connection._calls_in_flight == {}
            assert await pair.say("after") == "after"

    play(test)


def test_errors_come_back_as_their_kind():
    async def test() -> None:
        async with Pair() as pair:

            async def refuse(asked: Echo, caller: Caller) -> Echo:
                if asked.text == "fenced":
                    raise FencedError("term 7")
                raise ZeroDivisionError("oops")

            pair.there.handle(Echo, refuse)
            with pytest.raises(FencedError, match="term 7"):
                await pair.say("fenced")
            with pytest.raises(InternalError, match="oops"):
                await pair.say("other")
            with pytest.raises(ProtocolViolationError):
                await pair.here.call(pair.address, Other(), Other, LONG_S)

    play(test)


def test_a_reply_of_another_class_is_a_violation():
    async def test() -> None:
        async with Pair() as pair:
            with pytest.raises(ProtocolViolationError):
                await pair.here.call(pair.address, Echo("x"), Other, LONG_S)

    play(test)


def test_a_message_without_reply_arrives_and_its_failure_is_ignored():
    async def test() -> None:
        async with Pair() as pair:
            heard: list[str] = []

            async def hear(asked: Echo, caller: Caller) -> Echo:
                heard.append(asked.text)
                raise FencedError("nobody is told")

            pair.there.handle(Echo, hear)
            await pair.here.tell(pair.address, Echo("hint"))
            assert await wait_until(lambda: heard == ["hint"], LONG_S)
            await pair.there.close()
            await pair.here.tell("127.0.0.1:1", Echo("lost"))

    play(test)


# ------------------------------------------------------------------ peers that vanish


def test_without_a_listener_the_call_was_certainly_not_carried_out():
    async def test() -> None:
        here = Network()
        with pytest.raises(PeerUnavailableError):
            await here.call("127.0.0.1:1", Echo("x"), Echo, LONG_S)
        await here.close()

    play(test)


async def say_nothing(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()
    writer.close()


async def hang_up_after_reading(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.close()


async def half_a_reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(b'{"i": -1, "k": "test.echo"')
    writer.close()


async def nonsense(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(b"nonsense\n")
    await reader.read()
    writer.close()


async def another_id(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readline()
    writer.write(encode(Envelope(-4711, Echo("not for you"))))
    await reader.read()
    writer.close()


@pytest.mark.parametrize("answer", [say_nothing, hang_up_after_reading, half_a_reply, nonsense, another_id])
def test_without_a_reply_the_outcome_is_unknown(answer):
    async def test() -> None:
        async with RawPeer(answer) as peer:
            with pytest.raises(PeerTimeoutError):
                await peer.say(SHORT_S)

    play(test)


def test_a_connection_whose_calls_time_out_is_replaced():
    async def test() -> None:
        async with RawPeer(say_nothing) as peer:
            for _ in range(client_connection.MAX_CONSECUTIVE_TIMEOUTS + 1):
                with pytest.raises(PeerTimeoutError):
                    await peer.say(SHORT_S)
            assert peer.connections == 2

    play(test)


def test_a_restarted_peer_is_reached_again():
    async def test() -> None:
        async with Pair() as pair:
            assert await pair.say("before") == "before"
            await pair.there.close()
            assert await wait_until(lambda: not pair.here.connections, LONG_S)
            with pytest.raises(PeerUnavailableError):
                await pair.say("down", SHORT_S)
            again = Network()
            again.handle(Echo, echo)
            await again.listen(pair.address)
            assert await pair.say("after") == "after"
            await again.close()

    play(test)


def test_a_peer_that_does_not_read_gets_no_more_calls(monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_UNSENT_BYTES", 1000)

    async def never_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]

    async def test() -> None:
        async with RawPeer(never_read) as peer:
            large = Echo("x" * 30_000_000)
            first = asyncio.create_task(peer.here.call(peer.address, large, Echo, LONG_S))
            assert await wait_until(lambda: peer.here.sent_bytes > 0, LONG_S)
            with pytest.raises(PeerUnavailableError):
                await peer.say(SHORT_S)
            first.cancel()

    play(test)


# ------------------------------------------------------------------ bad bytes


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
def test_bad_bytes_end_that_connection_and_no_other(data):
    async def test() -> None:
        async with Pair() as pair:
            assert await pair.say("good") == "good"
            host, _, port = pair.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), LONG_S)
            writer.close()
            assert await pair.say("still good") == "still good"
            assert len(pair.there.connections) == 1

    play(test)


def test_a_line_over_the_limit_ends_its_connection(monkeypatch):
    monkeypatch.setattr(connection, "MAX_LINE_BYTES", 10_000)

    async def test() -> None:
        async with Pair() as pair:
            host, _, port = pair.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"x" * 20_000)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), LONG_S)
            writer.close()
            assert await pair.say("good") == "good"

    play(test)


@pytest.mark.parametrize("size", [1, 2, 7, 64])
def test_lines_are_read_however_their_bytes_arrive(size):
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

    play(test)
