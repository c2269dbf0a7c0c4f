"""Where each key of a TOML text stands.

The parser of the standard library tells no lines, so a text that it has accepted is walked once more, for the
places alone (TOML 1.0.0: keys, tables, arrays of tables, inline tables, strings).
"""

from __future__ import annotations

from tomllib import loads

Path = tuple[str | int, ...]

BLANK = " \t\r\n"
ENDS = ",]}#\n"


class _Walk:
    def __init__(self, text: str) -> None:
        self.text = text
        self.at = 0
        self.lines: dict[Path, int] = {(): 1}
        self.arrays: dict[Path, int] = {}  # arrays of tables: the index of the last
        self._line, self._counted = 1, 0

    def line(self) -> int:
        self._line += self.text.count("\n", self._counted, self.at)
        self._counted = self.at
        return self._line

    def peek(self, word: str) -> bool:
        return self.text.startswith(word, self.at)

    def skip(self, blank: str = BLANK) -> None:
        """Past blanks, and past comments where lines may end."""
        while self.at < len(self.text):
            if self.text[self.at] in blank:
                self.at += 1
            elif self.text[self.at] == "#" and "\n" in blank:
                end = self.text.find("\n", self.at)
                self.at = len(self.text) if end < 0 else end
            else:
                return

    def record(self, path: Path, line: int) -> None:
        self.lines.setdefault(path, line)

    def document(self) -> dict[Path, int]:
        table: Path = ()
        self.skip()
        while self.at < len(self.text):
            if self.peek("["):
                table = self.header()
            else:
                self.pair(table)
            self.skip()
        return self.lines

    def header(self) -> Path:
        line = self.line()
        many = self.peek("[[")
        self.at += 2 if many else 1
        self.skip(" \t")
        words = self.key()
        self.skip(" \t")
        self.at += 2 if many else 1
        path: Path = ()
        for word in words[:-1]:
            path = self.inside((*path, word), line)
        path = (*path, words[-1])
        self.record(path, line)
        if many:
            self.arrays[path] = self.arrays.get(path, -1) + 1
            path = (*path, self.arrays[path])
            self.record(path, line)
        return path

    def inside(self, path: Path, line: int) -> Path:
        """The table that a name leads to: the last one of an array."""
        self.record(path, line)
        return (*path, self.arrays[path]) if path in self.arrays else path

    def key(self) -> list[str]:
        words = []
        while True:
            self.skip(" \t")
            begin = self.at
            if self.text[self.at] in "\"'":
                self.string()
                words.append(str(loads(f"x = {self.text[begin : self.at]}")["x"]))
            else:
                while self.text[self.at] not in " \t.=]":
                    self.at += 1
                words.append(self.text[begin : self.at])
            self.skip(" \t")
            if not self.peek("."):
                return words
            self.at += 1

    def pair(self, table: Path) -> None:
        line = self.line()
        path = table
        for word in self.key():
            path = (*path, word)
            self.record(path, line)
        self.at += 1  # the equals sign
        self.value(path)

    def value(self, path: Path) -> None:
        self.skip(" \t")
        if self.peek("["):
            self.at += 1
            index = 0
            while not self.closed("]"):
                self.record((*path, index), self.line())
                self.value((*path, index))
                index += 1
        elif self.peek("{"):
            self.at += 1
            while not self.closed("}"):
                self.pair(path)
        elif self.text[self.at] in "\"'":
            self.string()
        else:
            while self.at < len(self.text) and self.text[self.at] not in ENDS:
                self.at += 1

    def closed(self, end: str) -> bool:
        """Whether an array or inline table ends here; past a comma otherwise."""
        self.skip()
        if self.peek(","):
            self.at += 1
            self.skip()
        if self.peek(end):
            self.at += 1
            return True
        return False

    def string(self) -> None:
        quote = self.text[self.at]
        if self.peek(quote * 3):
            self.at += 3
            while not self.peek(quote * 3):
                self.at += 2 if quote == '"' and self.peek("\\") else 1
            self.at += 3
            while self.peek(quote):  # up to two quotes may stand right before the closing ones
                self.at += 1
            return
        self.at += 1
        while not self.peek(quote):
            self.at += 2 if quote == '"' and self.peek("\\") else 1
        self.at += 1


def locate(text: str) -> dict[Path, int]:
    """The line, from 1, of each key and array element of a TOML text that `tomllib` accepts."""
    return _Walk(text.replace("\r\n", "\n")).document()
