"""`loadbalancer try`: runs a sidecar between an emulated application and emulated servers, and injects faults.

Everything runs on 127.0.0.1 for a limited time. The configuration is derived from the shipped catalogue and
description; the sidecar runs in a separate process, as in production.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from importlib.resources import files
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from loadbalancer.cli.config import replace_file
from loadbalancer.core.address import parse_address
from loadbalancer.emulator.box import Behaviour, Box, Seen
from loadbalancer.emulator.caller import Application
from loadbalancer.emulator.discovery import Discovery
from loadbalancer.http.client import Response
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.derive import derive, text_of
from loadbalancer.sidecar.load import parse

DRAIN_GRACE_S = 0.5  # time after a drain during which the server may still get new requests
START_TIMEOUT_S = 15.0
LISTENER_LOG_LINE = re.compile(r"(?:listener \S+|admin) on (\S+)")
DISPLAY_PERIOD_S = 0.25
ZONES = ("dar-kariakoo", "dar-mikocheni", "arusha", "dodoma")
CLASS_SHARES = {"balance-read": 0.5, "journal-post": 0.3, "invoice-record": 0.2}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of the load (2 to 600)")
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second (1 to 2000)")
    parser.add_argument("--boxes", type=int, default=5, help="number of emulated servers (4 to 50)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep", metavar="FOLDER", help="keep catalogue, description, configuration and log in this folder"
    )
    parser.add_argument("--plain", action="store_true", help="print plain lines, as without a terminal")
    parser.epilog = "Exit codes: 0 the rules were kept, 1 a rule was broken, 2 the command could not run."
    parser.set_defaults(run=run)


@dataclass
class ClassTally:
    """Outcomes of the requests of one class."""

    sent: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    waits_ms: list[float] = field(default_factory=list)

    def row(self) -> list[str]:
        sorted_waits_ms = sorted(self.waits_ms) or [0.0]
        counts = (self.sent, self.served, self.rejected, self.failed, self.lost)
        p50, p99 = (
            sorted_waits_ms[len(sorted_waits_ms) // 2],
            sorted_waits_ms[len(sorted_waits_ms) * 99 // 100],
        )
        return [*(str(count) for count in counts), f"{p50:.0f}", f"{p99:.0f}"]


@dataclass
class Step:
    """An event for an emulated server. `fraction`: its time as a fraction of the run."""

    fraction: float
    text: str
    do: Callable[[], None]
    done: bool = False


class Trial:
    def __init__(self, args: argparse.Namespace, folder: Path) -> None:
        self.seconds: float = args.seconds
        self.rate: float = args.rate
        self.folder = folder
        self.rng = random.Random(args.seed)
        self.boxes = [
            Box(f"box-{index + 1}", Behaviour(work_ms=12.0, cores=4), self._answerer(index))
            for index in range(args.boxes)
        ]
        self.discovery = Discovery()
        self.tallies: dict[str, ClassTally] = defaultdict(ClassTally)
        self.unsafe: set[str] = set()
        self.drained_at: dict[int, float] = {}
        self.late_requests = 0
        self.steps: list[Step] = []
        self.started_at = 0.0
        self.event_lines: list[str] = []

    def _answerer(self, index: int) -> Callable[[Seen], bytes | None]:
        def answer(seen: Seen) -> bytes:
            body = bytes(seen.body) or b'{"balance":"1204.50"}'
            return (
                b"HTTP/1.1 200 OK\r\nX-Box: %d\r\nSrv-Load: TEXT queue=0\r\nContent-Length: %d\r\n\r\n%s"
                % (
                    index + 1,
                    len(body),
                    body,
                )
            )

        return answer

    # ---------------------------------------------------------------------- running

    async def run(self, show: Callable[[Trial], None]) -> bool:
        """Run the trial; returns whether all rules were kept."""
        await self.discovery.start()
        for index, box in enumerate(self.boxes):
            await box.start()
            self.discovery.tell(box, zone=ZONES[index % len(ZONES)], cell=index)
        configuration_path = self.write()
        command = [sys.executable, "-m", "loadbalancer.cli", "sidecar", str(configuration_path)]
        with (self.folder / "sidecar.log").open("wb") as log_file:
            process = subprocess.Popen(command, stdout=log_file, stderr=log_file)
        application = operator = None
        try:
            application, operator = await self._clients(process)
            await self._wait_until_ready(operator, process)
            await self._run_load(application, show)
        finally:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.to_thread(process.wait, 30)
            except subprocess.TimeoutExpired:
                process.kill()
            for caller in (application, operator):
                if caller is not None:
                    caller.close()
            self.discovery.stop()
            for box in self.boxes:
                box.stop()
        return not any(self.violations().values())

    def write(self) -> Path:
        """Write the files; returns the path of the configuration, in which the sidecar listens on free ports."""
        shipped = files("loadbalancer.examples")
        catalogue_text = (
            (shipped / "ledger.toml").read_text().replace("127.0.0.1:8500", self.discovery.endpoint)
        )
        description = (shipped / "month-close.toml").read_text()
        description = description.replace("127.0.0.1:7610", "127.0.0.1:0").replace(
            "127.0.0.1:7619", "127.0.0.1:0"
        )
        catalogue, application = parse(catalogue_text, "ledger.toml"), parse(description, "month-close.toml")
        for document in (catalogue, application):
            check(document)
            replace_file(self.folder / document.name, document.text)
        derived = None if catalogue.mistakes or application.mistakes else derive(catalogue, application)
        if derived is None:
            raise RuntimeError("\n".join(map(str, catalogue.mistakes + application.mistakes)))
        path = self.folder / "month-close.configuration.toml"
        replace_file(path, text_of(derived, catalogue, application))
        return path

    async def _clients(self, process: subprocess.Popen[bytes]) -> tuple[Application, Application]:
        """Clients for the listener and the admin listener, whose addresses are in the sidecar's log."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.poll() is None:
                addresses = LISTENER_LOG_LINE.findall((self.folder / "sidecar.log").read_text())
                if len(addresses) == 2:
                    listener, admin = (Application(parse_address(address)) for address in addresses)
                    return listener, admin
                await asyncio.sleep(0.02)
        raise RuntimeError(f"the sidecar exited: {(self.folder / 'sidecar.log').read_text().strip()}")

    async def _wait_until_ready(self, operator: Application, process: subprocess.Popen[bytes]) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while process.poll() is None:
                with contextlib.suppress(OSError):
                    if (await operator.ask("GET", "/up")).status == 200:
                        return
                await asyncio.sleep(0.05)
        raise RuntimeError(f"the sidecar exited: {(self.folder / 'sidecar.log').read_text().strip()}")

    async def _run_load(self, application: Application, show: Callable[[Trial], None]) -> None:
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        self._plan_faults()
        tasks: set[asyncio.Task[None]] = set()
        number, due, next_show = 0, 0.0, 0.0
        while (now := loop.time() - self.started_at) < self.seconds:
            for step in self.steps:
                if not step.done and now >= step.fraction * self.seconds:
                    step.done = True
                    step.do()
                    self.event_lines.append(f"{now:5.1f} s  {step.text}")
            while due <= now:
                number += 1
                task = asyncio.create_task(self._send_one(application, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                due += self.rng.expovariate(self.rate)
            if now >= next_show:
                show(self)
                next_show += DISPLAY_PERIOD_S
            await asyncio.sleep(min(0.01, max(0.0, due - now)))
        if tasks:
            await asyncio.wait(tasks)
        show(self)

    def _plan_faults(self) -> None:
        slow, hung, drained, killed = self.boxes[:4]

        def drain() -> None:
            self.drained_at[2] = time.monotonic()
            self.discovery.tell(drained, "Terminating", ZONES[2], 2)

        def count_late_requests(box: Box) -> None:
            inner = box.take

            def take(connection: object, seen: Seen) -> None:
                drained_at = self.drained_at.get(2)
                if drained_at is not None and time.monotonic() - drained_at > DRAIN_GRACE_S:
                    self.late_requests += 1
                inner(connection, seen)  # type: ignore[arg-type]

            box.take = take  # type: ignore[method-assign]

        def recover() -> None:
            slow.behaviour.slow, hung.behaviour.hang = 1.0, False

        count_late_requests(drained)

        def hang() -> None:
            hung.behaviour.hang = True

        def slow_down() -> None:
            slow.behaviour.slow = 8.0

        def break_off() -> None:
            killed.behaviour.die_mid_answer = 3

        self.steps = [
            Step(0.15, f"{slow.name} becomes 8 times slower", slow_down),
            Step(0.35, f"{hung.name} hangs: accepts requests and answers none", hang),
            Step(0.5, f"{drained.name} drains", drain),
            Step(0.65, f"{killed.name} closes the connection in the middle of 3 responses", break_off),
            Step(0.8, f"{slow.name} and {hung.name} recover", recover),
        ]

    async def _send_one(self, application: Application, number: int) -> None:
        service = self.rng.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
        posting = f"p{number}"
        body = b'{"amount":"18.20","posting":"%s"}' % posting.encode()
        headers = {"X-Posting": posting}
        if service == "balance-read":
            request = application.ask("GET", f"/balance/{number % 97}", headers=headers)
        elif service == "journal-post":
            self.unsafe.add(posting)
            request = application.ask("POST", "/journal/general/entries", body, headers)
        else:
            request = application.ask(
                "PUT", f"/invoice/{number}", body, headers | {"Idempotency-Key": posting}
            )
        tally = self.tallies[service]
        tally.sent += 1
        started_at = time.monotonic()
        try:
            response = await request
        except (OSError, TimeoutError):
            tally.lost += 1
            return
        tally.waits_ms.append((time.monotonic() - started_at) * 1000.0)
        self._count(tally, response)

    def _count(self, tally: ClassTally, response: Response) -> None:
        if response.status == 200:
            tally.served += 1
        elif response.status == 503 and b"proxy-status" in response.headers:
            tally.rejected += 1
        else:
            tally.failed += 1

    # --------------------------------------------------------------------- figures

    def violations(self) -> dict[str, int]:
        """The number of observed violations of each rule."""
        ran: Counter[str] = Counter()
        for box in self.boxes:
            ran.update(box.ran)
        return {
            "no request lost": sum(tally.lost for tally in self.tallies.values()),
            "no effect twice": sum(1 for posting in self.unsafe if ran[posting] > 1),
            "drains kept": self.late_requests,
        }


def _class_table(trial: Trial) -> Table:
    table = Table(title="Responses to the application")
    for name in ("class", "sent", "served", "rejected", "failed", "no response", "p50 ms", "p99 ms"):
        table.add_column(name, justify="left" if name == "class" else "right")
    for service in CLASS_SHARES:
        table.add_row(service, *trial.tallies[service].row())
    return table


def _server_table(trial: Trial) -> Table:
    table = Table(title="Requests at each server")
    for name in ("server", "started", "answered", "state"):
        table.add_column(name, justify="right" if name in ("started", "answered") else "left")
    for index, box in enumerate(trial.boxes):
        behaviour = box.behaviour
        state = (
            "hangs"
            if behaviour.hang
            else f"{behaviour.slow:g} times slower"
            if behaviour.slow > 1.0
            else "healthy"
        )
        state = "drains" if index in trial.drained_at else state
        table.add_row(box.name, str(sum(box.ran.values())), str(box.served), state)
    return table


def _page(trial: Trial) -> Group:
    return Group(_class_table(trial), _server_table(trial), *trial.event_lines)


async def _run_shown(trial: Trial, console: Console, plain: bool) -> bool:
    if plain or not console.is_terminal:
        printed = 0

        def show(now: Trial) -> None:
            nonlocal printed
            for line in now.event_lines[printed:]:
                console.print(line, highlight=False)
            printed = len(now.event_lines)

        rules_kept = await trial.run(show)
        console.print(_class_table(trial))
        console.print(_server_table(trial))
        return rules_kept
    with Live(_page(trial), console=console, refresh_per_second=4) as live:
        return await trial.run(lambda now: live.update(_page(now)))


def run(args: argparse.Namespace) -> int:
    if not (2 <= args.seconds <= 600 and 1 <= args.rate <= 2000 and 4 <= args.boxes <= 50):
        print("loadbalancer: --seconds, --rate or --boxes is out of its range, see --help", file=sys.stderr)
        return 2
    console = Console(highlight=False, width=None if sys.stdout.isatty() else 100)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(args.keep or temporary)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            trial = Trial(args, folder)
            rules_kept = asyncio.run(_run_shown(trial, console, args.plain))
        except (OSError, RuntimeError, TimeoutError) as error:
            print(f"loadbalancer: {error}", file=sys.stderr)
            return 2
    for rule, count in trial.violations().items():
        console.print(f"{rule}: {'kept' if not count else f'BROKEN {count} times'}")
    return 0 if rules_kept else 1
