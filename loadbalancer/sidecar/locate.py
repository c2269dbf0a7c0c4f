"""Finds the line of each key in a TOML text.

The parser of the standard library does not report lines, so a text that it has accepted is scanned a second time for
positions only (TOML 1.0.0: keys, tables, arrays of tables, inline tables, strings).
"""

from __future__ import annotations

from tomllib import loads

Path = tuple[str | int, ...]

WHITESPACE = " \t\r\n"
VALUE_ENDS = ",]}#\n"


class _Scanner:
    def __init__(self, text: str) -> None:
        self.text = text
        self.position = 0
        self.lines: dict[Path, int] = {(): 1}
        self.last_index: dict[Path, int] = {}  # of each array of tables: the index of its last element
        self._line, self._counted_to = 1, 0

    def line(self) -> int:
        self._line += self.text.count("\n", self._counted_to, self.position)
        self._counted_to = self.position
        return self._line

    def peek(self, text: str) -> bool:
        return self.text.startswith(text, self.position)

    def skip(self, blank: str = WHITESPACE) -> None:
        """Skip blanks; also skip comments if `blank` contains the newline."""
        while self.position < len(self.text):
            if self.text[self.position] in blank:
                self.position += 1
            elif self.text[self.position] == "#" and "\n" in blank:
                end = self.text.find("\n", self.position)
                self.position = len(self.text) if end < 0 else end
            else:
                return

    def record(self, path: Path, line: int) -> None:
        self.lines.setdefault(path, line)

    def document(self) -> dict[Path, int]:
        table: Path = ()
        self.skip()
        while self.position < len(self.text):
            if self.peek("["):
                table = self.header()
            else:
                self.key_value(table)
            self.skip()
        return self.lines

    def header(self) -> Path:
        line = self.line()
        is_array = self.peek("[[")
        self.position += 2 if is_array else 1
        self.skip(" \t")
        keys = self.key()
        self.skip(" \t")
        self.position += 2 if is_array else 1
        path: Path = ()
        for key in keys[:-1]:
            path = self.table_path((*path, key), line)
        path = (*path, keys[-1])
        self.record(path, line)
        if is_array:
            self.last_index[path] = self.last_index.get(path, -1) + 1
            path = (*path, self.last_index[path])
            self.record(path, line)
        return path

    def table_path(self, path: Path, line: int) -> Path:
        """The path of the table that a header key refers to: for an array of tables, its last element."""
        self.record(path, line)
        return (*path, self.last_index[path]) if path in self.last_index else path

    def key(self) -> list[str]:
        keys = []
        while True:
            self.skip(" \t")
            start = self.position
            if self.text[self.position] in "\"'":
                self.string()
                keys.append(str(loads(f"x = {self.text[start : self.position]}")["x"]))
            else:
                while self.text[self.position] not in " \t.=]":
                    self.position += 1
                keys.append(self.text[start : self.position])
            self.skip(" \t")
            if not self.peek("."):
                return keys
            self.position += 1

    def key_value(self, table: Path) -> None:
        line = self.line()
        path = table
        for key in self.key():
            path = (*path, key)
            self.record(path, line)
        self.position += 1  # the equals sign
        self.value(path)

    def value(self, path: Path) -> None:
        self.skip(" \t")
        if self.peek("["):
            self.position += 1
            index = 0
            while not self.at_end("]"):
                self.record((*path, index), self.line())
                self.value((*path, index))
                index += 1
        elif self.peek("{"):
            self.position += 1
            while not self.at_end("}"):
                self.key_value(path)
        elif self.text[self.position] in "\"'":
            self.string()
        else:
            while self.position < len(self.text) and self.text[self.position] not in VALUE_ENDS:
                self.position += 1

    def at_end(self, end: str) -> bool:
        """Whether the array or inline table ends here; skips a separating comma before it looks."""
        self.skip()
        if self.peek(","):
            self.position += 1
            self.skip()
        if self.peek(end):
            self.position += 1
            return True
        return False

    def string(self) -> None:
        quote = self.text[self.position]
        if self.peek(quote * 3):
            self.position += 3
            while not self.peek(quote * 3):
                self.position += 2 if quote == '"' and self.peek("\\") else 1
            self.position += 3
            while self.peek(quote):  # the text may end with up to two quotes before the closing ones
                self.position += 1
            return
        self.position += 1
        while not self.peek(quote):
            self.position += 2 if quote == '"' and self.peek("\\") else 1
        self.position += 1


def locate(text: str) -> dict[Path, int]:
    """The line, from 1, of each key and array element of a TOML text that `tomllib` accepts."""
    return _Scanner(text.replace("\r\n", "\n")).document()
