"""Path patterns: which paths a pattern matches, and whether it matches all paths of another pattern.

A path is split into its segments (RFC 3986, section 3.3), and each is percent-decoded, so that `/%70ay` equals `/pay`
while an encoded slash stays within its segment. The segments of a pattern are literal or `{name}`, which matches any
one segment that is not empty. The last segment may be `**`, which matches any number of segments, including none.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

PLACEHOLDER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_-]*\}")
LITERAL = re.compile(r"(?:[A-Za-z0-9._~!$&'()+,;=:@-]|%[0-9A-Fa-f]{2})+")
DOT_SEGMENTS = (b".", b"..")


def segments(path: bytes) -> tuple[bytes, ...] | None:
    """Return the decoded segments of a request's path; None if it has dot segments.

    Guard: a server that resolves dot segments would treat the request as one of a class other than the routed one.
    """
    parts = path.split(b"/")[1:]
    if b"%" in path:
        parts = [unquote_to_bytes(part) for part in parts]
    if b"." in path or b"%" in path:
        for part in parts:
            # Guard: some servers decode a path before they split it, so an encoded slash can hide a dot segment.
            if part in DOT_SEGMENTS or (
                b"/" in part and any(piece in DOT_SEGMENTS for piece in part.split(b"/"))
            ):
                return None
    return tuple(parts)


@dataclass(slots=True, frozen=True)
class PathPattern:
    """A parsed pattern.

    Attributes
    ----------
    parts: for each segment the literal to match, or None for any segment that is not empty.
    rest: whether any number of further segments may follow.
    """

    text: str
    parts: tuple[bytes | None, ...]
    rest: bool = False

    @classmethod
    def parse(cls, text: str) -> PathPattern:
        """Parse a pattern; raises ValueError with the reason if it is malformed."""
        if not text.startswith("/"):
            raise ValueError(f"{text!r} does not begin with a slash")
        segment_texts = text.split("/")[1:]
        rest = segment_texts[-1] == "**"
        if rest:
            segment_texts.pop()
        parts: list[bytes | None] = []
        for index, segment in enumerate(segment_texts):
            if PLACEHOLDER.fullmatch(segment):
                parts.append(None)
            elif segment == "" and index == len(segment_texts) - 1 and not rest:
                parts.append(b"")  # the path is a single slash or ends in one
            elif LITERAL.fullmatch(segment) and unquote_to_bytes(segment) not in DOT_SEGMENTS:
                parts.append(unquote_to_bytes(segment))
            else:
                raise ValueError(
                    f"{text!r}: segment {segment!r} is neither literal, '{{name}}' nor a last '**'"
                )
        return cls(text, tuple(parts), rest)

    def matches(self, path: tuple[bytes, ...]) -> bool:
        """Whether the pattern matches a path, given as decoded segments."""
        size = len(self.parts)
        if len(path) < size or (len(path) > size and not self.rest):
            return False
        return all(
            part == path[index] if part is not None else path[index] for index, part in enumerate(self.parts)
        )

    def covers(self, other: PathPattern) -> bool:
        """Whether this pattern matches every path that the other one matches."""
        size = len(self.parts)
        if len(other.parts) < size or (not self.rest and (other.rest or len(other.parts) > size)):
            return False
        return all(
            mine == theirs if mine is not None else theirs is None or bool(theirs)
            for mine, theirs in zip(self.parts, other.parts, strict=False)
        )
