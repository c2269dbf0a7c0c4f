"""Reading one of the three files: its text, its shape, and the place of every mistake in it."""

from __future__ import annotations

import re
import tomllib
import types
import typing
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path as FilePath
from typing import Any

from pydantic import BaseModel, ValidationError

from loadbalancer.sidecar.locate import Path, locate
from loadbalancer.sidecar.mistakes import Mistake, near, shown
from loadbalancer.sidecar.models import KINDS, VERSION

AT_LINE = re.compile(r"\(at line (\d+), column \d+\)|\(at end of document\)")
LARGEST = 16 * 1024 * 1024


class UnusableError(Exception):
    """A file that can't be read at all."""


@dataclass(slots=True)
class Document:
    """One file as far as it could be read; `model` is there if its shape is right."""

    name: str
    text: str
    data: dict[str, Any] = field(default_factory=dict)
    lines: dict[Path, int] = field(default_factory=dict)
    kind: str = ""
    model: Any = None
    mistakes: list[Mistake] = field(default_factory=list)
    spoilt: list[Path] = field(default_factory=list)  # where mistakes of shape stand

    def line(self, path: Path) -> int:
        """The line of a path, or of the nearest table around it that the file has."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def add(self, path: Path, wrong: str, right: str) -> None:
        mistake = Mistake(self.name, self.line(path), shown(path, self.data), wrong, right)
        if mistake not in self.mistakes:
            self.mistakes.append(mistake)

    def at(self, path: Path) -> str:
        """A place to point to: `file:line`."""
        return f"{self.name}:{self.line(path)}"


def read(path: str, kinds: Mapping[str, type[BaseModel]] = KINDS) -> Document:
    """A document from a file, of one of these kinds; UnusableError where there is none to read."""
    try:
        data = FilePath(path).read_bytes()
    except OSError as error:
        raise UnusableError(f"{path}: {error.strerror or error}") from error
    if len(data) > LARGEST:
        raise UnusableError(f"{path}: {len(data)} bytes are more than a configuration may have ({LARGEST})")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        document = Document(path, "")
        line = data.count(b"\n", 0, error.start) + 1
        document.mistakes.append(Mistake(path, line, "the file", "is not UTF-8", "write it as UTF-8"))
        return document
    return parse(text, path, kinds)


def parse(text: str, name: str, kinds: Mapping[str, type[BaseModel]] = KINDS) -> Document:
    """A document from its text; everything wrong with its shape is among its mistakes."""
    document = Document(name, text)
    try:
        document.data = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        found = AT_LINE.search(str(error))
        line = int(found[1]) if found and found[1] else text.count("\n") + 1
        said = AT_LINE.sub("", str(error)).strip() or "nested too deeply"
        document.mistakes.append(Mistake(name, line, "the file", f"is not TOML: {said}", "mend its syntax"))
        return document
    document.lines = locate(text)
    data = document.data
    kind = data.get("kind")
    if not isinstance(kind, str) or kind not in kinds:
        wrong = "is missing" if kind is None else f"is {kind!r}"
        document.add(("kind",), wrong, near(str(kind), kinds) if kind is not None else _choice(kinds))
        return document
    document.kind = kind
    version = data.get("version")
    if isinstance(version, int) and not isinstance(version, bool) and version > VERSION:
        document.add(
            ("version",),
            f"{version} is newer than this program reads",
            f"use version {VERSION}, or the program that wrote the file",
        )
        return document
    _validate(document, kinds[kind])
    return document


def _choice(names: typing.Iterable[str]) -> str:
    return f"one of {', '.join(sorted(names))}"


def _validate(document: Document, model: type[BaseModel]) -> None:
    try:
        document.model = model.model_validate(document.data)
        return
    except ValidationError as error:
        errors = error.errors(include_url=False)
    for item in errors:
        path: Path = tuple(item["loc"])
        wrong, right = _explain(item["type"], item["msg"], item.get("input"), path, model)
        document.add(path, wrong, right)
        document.spoilt.append(path)
    # What can be left out is, so that the rest is checked in the same run.
    kept = _without(document.data, [tuple(item["loc"]) for item in errors])
    try:
        document.model = model.model_validate(kept)
    except ValidationError:
        document.model = None


def _without(data: Any, paths: list[Path]) -> Any:
    """A copy without the keys at these paths (elements of lists stay, as their numbers are used)."""

    def copy(item: Any, here: Path) -> Any:
        if isinstance(item, dict):
            return {
                key: copy(value, (*here, key)) for key, value in item.items() if (*here, key) not in paths
            }
        if isinstance(item, list):
            return [copy(value, (*here, at)) for at, value in enumerate(item)]
        return item

    return copy(data, ())


def _model_at(model: type[BaseModel], path: Path) -> type[BaseModel] | None:
    """The model of the table at a path."""
    here: Any = model
    for word in path:
        if isinstance(word, int):
            continue
        if not (isinstance(here, type) and issubclass(here, BaseModel)):
            return None
        by_name = {info.alias or name: info for name, info in here.model_fields.items()}
        if word not in by_name:
            return None
        here = _inner(by_name[word].annotation)
    return here if isinstance(here, type) and issubclass(here, BaseModel) else None


def _inner(annotation: Any) -> Any:
    """What a list or an optional holds."""
    origin = typing.get_origin(annotation)
    if origin in (list, types.UnionType, typing.Union, typing.Annotated):
        for item in typing.get_args(annotation):
            found = _inner(item)
            if isinstance(found, type) and issubclass(found, BaseModel):
                return found
        return None
    return annotation


def _explain(kind: str, message: str, given: Any, path: Path, model: type[BaseModel]) -> tuple[str, str]:
    said = message[0].lower() + message[1:]
    if kind == "extra_forbidden":
        table = _model_at(model, path[:-1])
        known = [info.alias or name for name, info in table.model_fields.items()] if table else []
        return "no such key", near(str(path[-1]), known)
    if kind == "missing":
        return "is missing", f"add {path[-1]}"
    if kind == "literal_error":
        names = re.findall(r"'([^']*)'", message)
        return f"is {given!r}", near(given, names) if isinstance(given, str) else _choice(names)
    if kind == "value_error":
        return said.removeprefix("value error, "), "write it as the schema says"
    shown_input = given if not isinstance(given, dict | list) else type(given).__name__
    return f"is {shown_input!r}", said
