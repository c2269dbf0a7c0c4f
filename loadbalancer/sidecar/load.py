"""Reads one of the three files, validates its structure, and records the position of every mistake."""

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
from loadbalancer.sidecar.mistakes import Mistake, path_text, suggestion
from loadbalancer.sidecar.models import KINDS, VERSION

ERROR_POSITION = re.compile(r"\(at line (\d+), column \d+\)|\(at end of document\)")
MAX_FILE_BYTES = 16 * 1024 * 1024


class UnusableError(Exception):
    """A file or URL can't be read at all, so there is no position to report."""


@dataclass(slots=True)
class Document:
    """One file as far as it could be read; `model` is set if the text is valid without `invalid_paths`."""

    name: str
    text: str
    data: dict[str, Any] = field(default_factory=dict)
    lines: dict[Path, int] = field(default_factory=dict)
    kind: str = ""
    model: Any = None
    mistakes: list[Mistake] = field(default_factory=list)
    invalid_paths: list[Path] = field(default_factory=list)  # of the keys that failed validation

    def line(self, path: Path) -> int:
        """The line of a path, or of the innermost enclosing table that the file contains."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def add(self, path: Path, wrong: str, right: str) -> None:
        mistake = Mistake(self.name, self.line(path), path_text(path, self.data), wrong, right)
        if mistake not in self.mistakes:
            self.mistakes.append(mistake)

    def at(self, path: Path) -> str:
        """The position of a path as `file:line`."""
        return f"{self.name}:{self.line(path)}"


def read(path: str, kinds: Mapping[str, type[BaseModel]] = KINDS) -> Document:
    """Read a file of one of these kinds; UnusableError if it can't be opened or is too large."""
    try:
        data = FilePath(path).read_bytes()
    except OSError as error:
        raise UnusableError(f"{path}: {error.strerror or error}") from error
    if len(data) > MAX_FILE_BYTES:
        raise UnusableError(
            f"{path}: {len(data)} bytes are over the size limit of a configuration ({MAX_FILE_BYTES})"
        )
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        document = Document(path, "")
        line = data.count(b"\n", 0, error.start) + 1
        document.mistakes.append(Mistake(path, line, "the file", "is not UTF-8", "save it as UTF-8"))
        return document
    return parse(text, path, kinds)


def parse(text: str, name: str, kinds: Mapping[str, type[BaseModel]] = KINDS) -> Document:
    """Parse a text; syntax and validation errors are added to the document's mistakes."""
    document = Document(name, text)
    try:
        document.data = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        match = ERROR_POSITION.search(str(error))
        line = int(match[1]) if match and match[1] else text.count("\n") + 1
        detail = ERROR_POSITION.sub("", str(error)).strip() or "nested too deeply"
        document.mistakes.append(Mistake(name, line, "the file", f"is not TOML: {detail}", "fix the syntax"))
        return document
    document.lines = locate(text)
    data = document.data
    kind = data.get("kind")
    if not isinstance(kind, str) or kind not in kinds:
        wrong = "is missing" if kind is None else f"is {kind!r}"
        document.add(("kind",), wrong, suggestion(str(kind), kinds) if kind is not None else _one_of(kinds))
        return document
    document.kind = kind
    version = data.get("version")
    if isinstance(version, int) and not isinstance(version, bool) and version > VERSION:
        document.add(
            ("version",),
            f"{version} is newer than this program supports",
            f"use version {VERSION}, or the program that wrote the file",
        )
        return document
    _validate(document, kinds[kind])
    return document


def _one_of(names: typing.Iterable[str]) -> str:
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
        document.invalid_paths.append(path)
    # Validate again without the invalid keys, so that the remaining checks run in the same pass.
    valid = _without(document.data, [tuple(item["loc"]) for item in errors])
    try:
        document.model = model.model_validate(valid)
    except ValidationError:
        document.model = None


def _without(data: Any, excluded: list[Path]) -> Any:
    """A copy without the keys at these paths. List elements stay, because later paths contain their indexes."""

    def copy(item: Any, path: Path) -> Any:
        if isinstance(item, dict):
            return {
                key: copy(value, (*path, key)) for key, value in item.items() if (*path, key) not in excluded
            }
        if isinstance(item, list):
            return [copy(value, (*path, index)) for index, value in enumerate(item)]
        return item

    return copy(data, ())


def _model_at(model: type[BaseModel], path: Path) -> type[BaseModel] | None:
    """The model of the table at a path; None for a path that is not a table of the schema."""
    annotation: Any = model
    for key in path:
        if isinstance(key, int):
            continue
        if not (isinstance(annotation, type) and issubclass(annotation, BaseModel)):
            return None
        by_name = {info.alias or name: info for name, info in annotation.model_fields.items()}
        if key not in by_name:
            return None
        annotation = _model_inside(by_name[key].annotation)
    return annotation if isinstance(annotation, type) and issubclass(annotation, BaseModel) else None


def _model_inside(annotation: Any) -> Any:
    """The model inside a list, optional or union annotation; the annotation itself if it is none of these."""
    origin = typing.get_origin(annotation)
    if origin in (list, types.UnionType, typing.Union, typing.Annotated):
        for item in typing.get_args(annotation):
            model = _model_inside(item)
            if isinstance(model, type) and issubclass(model, BaseModel):
                return model
        return None
    return annotation


def _explain(
    error_type: str, message: str, given: Any, path: Path, model: type[BaseModel]
) -> tuple[str, str]:
    detail = message[0].lower() + message[1:]
    if error_type == "extra_forbidden":
        table = _model_at(model, path[:-1])
        known = [info.alias or name for name, info in table.model_fields.items()] if table else []
        return "no such key", suggestion(str(path[-1]), known)
    if error_type == "missing":
        return "is missing", f"add {path[-1]}"
    if error_type == "literal_error":
        names = re.findall(r"'([^']*)'", message)
        return f"is {given!r}", suggestion(given, names) if isinstance(given, str) else _one_of(names)
    if error_type == "value_error":
        return detail.removeprefix("value error, "), "write it as the schema requires"
    shown_input = given if not isinstance(given, dict | list) else type(given).__name__
    return f"is {shown_input!r}", detail
