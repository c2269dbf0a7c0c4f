"""Which texts may stand in an HTTP/1.1 request (RFC 9110, section 5; RFC 9112, sections 3 and 5). Pure functions."""

from __future__ import annotations

import re

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_TOKEN_TEXT = re.compile(_TOKEN.decode() + "+")
# Visible characters with spaces and tabs between them; the characters from 0x80 on are one byte each in Latin-1.
_FIELD_VALUE = re.compile("(?:[!-~\x80-\xff](?:[\t -~\x80-\xff]*[!-~\x80-\xff])?)?")
_ORIGIN_FORM = re.compile('/[!"$-~]*')
_REQUEST_HEAD = re.compile(_TOKEN + rb"++ [!-~]++ HTTP/1\.1(?:\r\n" + _TOKEN + rb"++:[\t -~\x80-\xff]*+)*+")


def is_field_name(text: str) -> bool:
    """Return whether a text is a token, as names of header fields are."""
    return _TOKEN_TEXT.fullmatch(text) is not None


def is_field_value(text: str) -> bool:
    """Return whether a text is a field value: in Latin-1, no control characters, no white space at its ends."""
    return _FIELD_VALUE.fullmatch(text) is not None


def is_origin_form(text: str) -> bool:
    """Return whether a text is a path with an optional query: ASCII without spaces, control characters and `#`."""
    return _ORIGIN_FORM.fullmatch(text) is not None


def is_request_head(head: bytes, fields: int) -> bool:
    """Return whether bytes are a request line and exactly this number of header fields, without the empty line."""
    return head.count(b"\r\n") == fields and _REQUEST_HEAD.fullmatch(head) is not None
