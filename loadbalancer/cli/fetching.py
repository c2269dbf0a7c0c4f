"""A page of a running sidecar's admin listener."""

from __future__ import annotations

import urllib.error
import urllib.request
from typing import Any

import orjson

from loadbalancer.core.address import parse_address
from loadbalancer.sidecar.load import UnusableError

FETCH_S = 3.0


def admin_url(text: str) -> str:
    """Of `host:port` or a URL; ValueError on anything else."""
    if text.startswith(("http://", "https://")):
        return text.rstrip("/")
    host, port = parse_address(text)
    return f"http://{f'[{host}]' if ':' in host else host}:{port}"


def fetch(url: str, page: str) -> Any:
    """A page as plain data; UnusableError if it can't be had."""
    try:
        with urllib.request.urlopen(f"{url}{page}", timeout=FETCH_S) as answer:
            return orjson.loads(answer.read())
    except (OSError, urllib.error.URLError, ValueError) as error:
        raise UnusableError(f"{url}: no {page.strip('/')} to be had: {error}") from error
