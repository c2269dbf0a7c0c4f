"""Path patterns: which paths one matches, and whether it leaves another nothing.

A path is taken as its segments (RFC 3986, section 3.3), each percent-decoded, so that `/%70ay` is `/pay` while
an encoded slash stays inside its segment. A pattern is written as a path whose segments are literal or `{name}`,
which stands for any one segment that is not empty; a last segment `**` stands for any number of segments, none
too.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

NAME = re.compile(r"\{[A-Za-z_][A-Za-z0-9_-]*\}")
LITERAL = re.compile(r"(?:[A-Za-z0-9._~!$&'()+,;=:@-]|%[0-9A-Fa-f]{2})+")
DOTS = (b".", b"..")


def segments(path: bytes) -> tuple[bytes, ...] | None:
    """The decoded segments of a request's path; None if it has dot segments.

    Guard: a server that resolves dot segments would run the work of another class than the one decided for.
    """
    parts = path.split(b"/")[1:]
    if b"%" in path:
        parts = [unquote_to_bytes(part) for part in parts]
    if b"." in path or b"%" in path:
        for part in parts:
            # Guard: some servers decode before they split, so an encoded slash may hide a dot segment.
            if part in DOTS or (b"/" in part and any(piece in DOTS for piece in part.split(b"/"))):
                return None
    return tuple(parts)


@dataclass(slots=True, frozen=True)
class PathPattern:
    """`parts` holds a literal segment, or None for any one; `rest`: further segments may follow."""

    text: str
    parts: tuple[bytes | None, ...]
    rest: bool = False

    @classmethod
    def parse(cls, text: str) -> PathPattern:
        """ValueError says what is wrong with it."""
        if not text.startswith("/"):
            raise ValueError(f"{text!r} does not begin with a slash")
        words = text.split("/")[1:]
        rest = words[-1] == "**"
        if rest:
            words.pop()
        parts: list[bytes | None] = []
        for at, word in enumerate(words):
            if NAME.fullmatch(word):
                parts.append(None)
            elif word == "" and at == len(words) - 1 and not rest:
                parts.append(b"")  # the path ends in a slash, or is one
            elif LITERAL.fullmatch(word) and unquote_to_bytes(word) not in DOTS:
                parts.append(unquote_to_bytes(word))
            else:
                raise ValueError(f"{text!r}: segment {word!r} is neither literal, '{{name}}' nor a last '**'")
        return cls(text, tuple(parts), rest)

    def matches(self, path: tuple[bytes, ...]) -> bool:
        size = len(self.parts)
        if len(path) < size or (len(path) > size and not self.rest):
            return False
        return all(part == path[at] if part is not None else path[at] for at, part in enumerate(self.parts))

    def covers(self, other: PathPattern) -> bool:
        """Whether every path that the other matches is matched by this one too."""
        size = len(self.parts)
        if len(other.parts) < size or (not self.rest and (other.rest or len(other.parts) > size)):
            return False
        return all(
            mine == theirs if mine is not None else theirs is None or bool(theirs)
            for mine, theirs in zip(self.parts, other.parts, strict=False)
        )
