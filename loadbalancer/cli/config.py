"""`loadbalancer config write | check | explain | drift | schema`."""

from __future__ import annotations

import argparse
import contextlib
import os
import sys
from pathlib import Path
from tempfile import NamedTemporaryFile
from typing import Any

import orjson

from loadbalancer.cli.fetching import admin_url, fetch
from loadbalancer.core.descriptors import descriptors_here
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.derive import Derived, derive, text_of
from loadbalancer.sidecar.drift import Difference, compare
from loadbalancer.sidecar.idl import check_against_idl, methods_of
from loadbalancer.sidecar.load import Document, UnusableError, read
from loadbalancer.sidecar.locate import Path as KeyPath
from loadbalancer.sidecar.loops import find_loops
from loadbalancer.sidecar.mistakes import Mistake, path_text
from loadbalancer.sidecar.models import KINDS, Configuration, plain
from loadbalancer.sidecar.toml import value_text

XDS_SUFFIXES = (".json", ".yaml", ".yml")  # files of xDS resources
EXIT_CODES = "Exit codes: 0 no mistakes or drift, 1 mistakes or drift found, 2 the command could not run."


def add_arguments(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")

    write = actions.add_parser(
        "write",
        help="write a configuration from a catalogue and an application description",
        epilog=EXIT_CODES,
    )
    write.add_argument("catalogue", help="the operators' file")
    write.add_argument("application", help="the application description")
    write.add_argument("-o", "--output", help="output file, replaced atomically; default: standard output")
    write.set_defaults(run=_write)

    checks = actions.add_parser(
        "check",
        help="find all mistakes in catalogues, descriptions and configurations",
        description="Each mistake is one line, `file:line: path: what is wrong; what would be right`. A description "
        "is checked against the catalogue among the files. JSON and YAML files are xDS resources; "
        "Thrift routes are checked against the IDL files (.thrift) among the files. No file is changed.",
        epilog=EXIT_CODES,
    )
    checks.add_argument("files", nargs="+", metavar="FILE")
    checks.add_argument("--json", action="store_true", help="print mistakes as JSON")
    checks.add_argument(
        "--descriptors",
        type=int,
        default=None,
        help="file descriptor limit where the sidecar runs; default: the limit of this machine",
    )
    checks.set_defaults(run=_check)

    explain = actions.add_parser(
        "explain",
        help="show each value of the derived configuration and its origin",
        epilog=EXIT_CODES,
    )
    explain.add_argument("catalogue")
    explain.add_argument("application")
    explain.add_argument(
        "path",
        nargs="?",
        default="",
        help="show only paths with this prefix, such as `classes[journal-post]`",
    )
    explain.add_argument("--json", action="store_true")
    explain.set_defaults(run=_explain)

    drift = actions.add_parser(
        "drift",
        help="compare configurations and running sidecars",
        description="Reports which differences are intended (meant), which are drift, and which drift breaks a rule.",
        epilog=EXIT_CODES,
    )
    drift.add_argument("sources", nargs="+", metavar="FILE|ADDRESS", help="a file, or an admin address")
    drift.add_argument("--json", action="store_true")
    drift.add_argument("--all", action="store_true", help="also show the intended differences")
    drift.set_defaults(run=_drift)

    schema = actions.add_parser("schema", help="print JSON Schema (draft 2020-12) for editors")
    schema.add_argument("kind", choices=sorted(KINDS))
    schema.set_defaults(run=_schema)


def _fail(error: object) -> int:
    print(f"loadbalancer: {error}", file=sys.stderr)
    return 2


def _documents(paths: list[str], descriptors: int) -> list[Document]:
    """Read and check each file by itself. UnusableError if one can't be read."""
    documents = [_xds_document(path) if path.endswith(XDS_SUFFIXES) else read(path) for path in paths]
    for document in documents:
        check(document, descriptors)
    return documents


def _xds_document(path: str) -> Document:
    """Check a file of xDS resources with the sidecar's own reader."""
    try:
        from loadbalancer.xds.files import FileError, load
    except ImportError as error:
        raise UnusableError(f"{path}: xDS resources need the extra: pip install 'emberring[xds]'") from error
    document = Document(path, "")
    try:
        load(path)
    except OSError as error:
        raise UnusableError(f"{path}: {error.strerror or error}") from error
    except FileError as error:
        document.mistakes = [
            Mistake(path, line, place, wrong, "see the API definition and docs/operate/xds.md")
            for line, place, wrong in error.mistakes
        ]
    return document


def _print_mistakes(mistakes: list[Mistake]) -> int:
    for mistake in mistakes:
        print(mistake)
    return 1 if mistakes else 0


# ------------------------------------------------------------------------------ check


def check_files(paths: list[str], descriptors: int) -> tuple[list[Document], list[str]]:
    """Check all files, alone and against each other; also returns remarks on what was not checked."""
    methods = {path: methods_of(path) for path in paths if path.endswith(".thrift")}
    documents = _documents([path for path in paths if path not in methods], descriptors)
    for path, methods_in_file in methods.items():
        for document in documents:
            if not document.mistakes:
                check_against_idl(document, methods_in_file, path)
    catalogues = [item for item in documents if item.kind == "catalogue"]
    remarks = []
    for document in documents:
        if document.kind != "application" or document.model is None:
            continue
        catalogue_name = document.model.catalogue
        matching = [
            item for item in catalogues if item.model is not None and item.model.name == catalogue_name
        ]
        if len(catalogues) == 1:
            matching = catalogues
        if not catalogues:
            remarks.append(
                f"{document.name}: checked by itself only, as there is no catalogue among the files"
            )
        elif not matching:
            document.add(
                ("catalogue",),
                f"no catalogue among the files is named {catalogue_name!r}",
                "name the one it is written for",
            )
        elif matching[0].mistakes:
            remarks.append(f"{document.name}: not checked against {matching[0].name}, which has mistakes")
        elif not document.invalid_paths:
            derive(matching[0], document)
    find_loops([document for document in documents if document.kind in KINDS and not document.invalid_paths])
    return documents, remarks


def _check(args: argparse.Namespace) -> int:
    descriptors = descriptors_here() if args.descriptors is None else args.descriptors
    try:
        documents, remarks = check_files(args.files, descriptors)
    except UnusableError as error:
        return _fail(error)
    mistakes = sorted(mistake for document in documents for mistake in document.mistakes)
    if args.json:
        rows: dict[str, Any] = {"mistakes": [mistake.row() for mistake in mistakes], "remarks": remarks}
        print(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
        return 1 if mistakes else 0
    for remark in remarks:
        print(f"note: {remark}", file=sys.stderr)
    return _print_mistakes(mistakes)


# ------------------------------------------------------------------- write and explain


def _derived(args: argparse.Namespace) -> tuple[Derived, Document, Document] | int:
    try:
        catalogue, application = _documents([args.catalogue, args.application], descriptors_here())
    except UnusableError as error:
        return _fail(error)
    for document, kind in ((catalogue, "catalogue"), (application, "application")):
        if document.kind and document.kind != kind:
            return _fail(f"{document.name}: kind is {document.kind!r}, and {kind!r} is wanted here")
    mistakes = catalogue.mistakes + application.mistakes
    derived = None if mistakes else derive(catalogue, application)
    if derived is None:
        return _print_mistakes(mistakes or application.mistakes)
    return derived, catalogue, application


def _write(args: argparse.Namespace) -> int:
    result = _derived(args)
    if isinstance(result, int):
        return result
    text = text_of(*result)
    if args.output is None:
        sys.stdout.write(text)
        return 0
    try:
        replace_file(Path(args.output), text)
    except OSError as error:
        return _fail(f"{args.output}: {error.strerror or error}")
    return 0


def replace_file(path: Path, text: str) -> None:
    """Replace a file atomically; on OSError the old file is unchanged."""
    with NamedTemporaryFile(
        "w", dir=path.parent, prefix=f".{path.name}.", delete=False, encoding="utf-8"
    ) as file:
        try:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
            os.chmod(file.name, 0o644)
            os.replace(file.name, path)
        except OSError:
            os.unlink(file.name)
            raise


def _explain(args: argparse.Namespace) -> int:
    result = _derived(args)
    if isinstance(result, int):
        return result
    derived = result[0]
    rows = []
    for path, value in _values(derived.data, ()):
        text = path_text(path, derived.data)
        if text.startswith(args.path):
            rows.append({"path": text, "value": value, "from": derived.origins.get(path, "always so")})
    if args.json:
        print(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
        return 0
    for row in rows:
        print(f"{row['path']} = {value_text(row['value'])}  <- {row['from']}")
    if not rows:
        return _fail(f"no value's path begins with {args.path!r}")
    return 0


def _values(data: Any, path: KeyPath) -> list[tuple[KeyPath, Any]]:
    if isinstance(data, dict):
        return [row for key, value in data.items() for row in _values(value, (*path, key))]
    if isinstance(data, list) and data and isinstance(data[0], dict):
        return [row for index, value in enumerate(data) for row in _values(value, (*path, index))]
    return [(path, data)]


# ------------------------------------------------------------------------------ drift


def _load_source(source: str) -> dict[str, Any]:
    """A configuration as plain data, from a file or a running sidecar; UnusableError if it can't be read."""
    if not Path(source).exists():
        with contextlib.suppress(ValueError):
            source = admin_url(source)
    if source.startswith(("http://", "https://")):
        try:
            data = fetch(source, "/config")["configuration"]
        except (KeyError, TypeError) as error:
            raise UnusableError(f"{source}: no configuration to be had: {error}") from error
        model = Configuration.model_validate(data)
    else:
        document = read(source)
        check(document)
        if document.mistakes:
            raise UnusableError(f"{source} has mistakes; `loadbalancer config check {source}` lists them")
        if not isinstance(document.model, Configuration):
            raise UnusableError(f"{source}: kind is {document.kind!r}, and a configuration is wanted here")
        model = document.model
    return plain(model)


def _drift(args: argparse.Namespace) -> int:
    if len(args.sources) < 2:
        return _fail("drift needs two configurations or more")
    try:
        differences = compare([_load_source(source) for source in args.sources])
    except (UnusableError, ValueError) as error:
        return _fail(" ".join(str(error).split()))
    drifted = [item for item in differences if item.drift]
    if args.json:
        rows = [item.row(args.sources) for item in differences]
        print(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
        return 1 if drifted else 0
    for item in differences if args.all else drifted:
        print(_difference_text(item, args.sources))
    meant = len(differences) - len(drifted)
    endangering = sum(1 for item in drifted if item.rule)
    print(f"{len(drifted)} drifted, {endangering} of them endanger a rule; {meant} meant", file=sys.stderr)
    return 1 if drifted else 0


def _difference_text(item: Difference, names: list[str]) -> str:
    verdict = "meant" if not item.drift else f"DRIFT, endangers «{item.rule.value}»" if item.rule else "drift"
    lines = [f"{item.path}: {verdict}" + (f": {item.why}" if item.drift else "")]
    lines += [
        f"    {name}: {'(none)' if value is None else value_text(value)}"
        for name, value in zip(names, item.values, strict=True)
    ]
    return "\n".join(lines)


def _schema(args: argparse.Namespace) -> int:
    schema = KINDS[args.kind].model_json_schema(by_alias=True)
    schema = {"$schema": "https://json-schema.org/draft/2020-12/schema"} | schema
    print(orjson.dumps(schema, option=orjson.OPT_INDENT_2).decode())
    return 0
