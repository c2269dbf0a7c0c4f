"""Fetches pages from the admin listener of a running sidecar."""

from __future__ import annotations

import urllib.error
import urllib.request
from typing import Any

import orjson

from loadbalancer.core.address import parse_address
from loadbalancer.sidecar.load import UnusableError

FETCH_TIMEOUT_S = 3.0


def admin_url(text: str) -> str:
    """The URL of an admin listener, from `host:port` or a URL; ValueError for anything else."""
    if text.startswith(("http://", "https://")):
        return text.rstrip("/")
    host, port = parse_address(text)
    return f"http://{f'[{host}]' if ':' in host else host}:{port}"


def fetch(url: str, page: str) -> Any:
    """A JSON page as plain data; UnusableError if it can't be fetched or parsed."""
    try:
        with urllib.request.urlopen(f"{url}{page}", timeout=FETCH_TIMEOUT_S) as response:
            return orjson.loads(response.read())
    except (OSError, urllib.error.URLError, ValueError) as error:
        raise UnusableError(f"{url}: no {page.strip('/')} to be had: {error}") from error
