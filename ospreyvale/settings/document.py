"""Documents in KDL (kdl.dev): a schema layer over `ckdl`, which parses versions 1 and 2 of the language.

A document is accepted as a whole or refused.  `Problems` collects every reason, each with the file, the path
of the node and what is allowed.  `NodeReader` returns the values of a node by type, and `reject_unknown`
reports those that were never requested.
"""

from __future__ import annotations

import math
import re
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import ckdl

MAX_DOCUMENT_BYTES = 65_536
MAX_REASONS = 100  # kept for one document; further ones are only counted
# Matches strings and comments, in which text that looks like a property is not one.
_STRING_OR_COMMENT = re.compile(
    r'(#+)"""[\s\S]*?"""\1|(#+)".*?"\2|r(#*)".*?"\3|"""[\s\S]*?"""|"(?:\\.|[^"\\])*"'
    r"|//[^\n]*|/\*[\s\S]*?\*/"
)
_PROPERTY = re.compile(r"(/-\s*)?([^\s={}();/\\\"#]+)[ \t]*=")


class DocumentError(ValueError):
    """The document is refused; `reasons` has one line for each reason."""

    def __init__(self, reasons: list[str]) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


@dataclass
class Problems:
    """The reasons to refuse one document, at most `MAX_REASONS` of them."""

    file: str
    reasons: list[str] = field(default_factory=list)
    omitted: int = 0  # reasons beyond the limit

    def add(self, path: str, text: str) -> None:
        """Adds a reason for the node at that path; an empty path stands for the document."""
        if len(self.reasons) < MAX_REASONS:
            self.reasons.append(f"{self.file}: {path}: {text}" if path else f"{self.file}: {text}")
        else:
            self.omitted += 1

    def raise_if_any(self) -> None:
        """Raises DocumentError if there is a reason."""
        if self.reasons:
            more = [f"{self.file}: and {self.omitted} more"] if self.omitted else []
            raise DocumentError(self.reasons + more)


class NodeReader:
    """Returns the values of one node by type.

    A value that is missing or not allowed is reported to `problems`.  The default or, for a required value, a
    placeholder is returned in its place, so that reading goes on and all reasons are found.
    """

    def __init__(self, node: ckdl.Node, path: str, problems: Problems) -> None:
        self.node = node
        self.path = path
        self.problems = problems
        self.name: str = node.name
        self._args_read = 0
        self._requested_properties = set[str]()
        self._requested_children = set[str]()

    def add_problem(self, text: str) -> None:
        """Reports a problem of this node."""
        self.problems.add(self.path, text)

    def has_property(self, name: str) -> bool:
        """Returns whether the node has that property."""
        return name in self.node.properties

    def number(
        self,
        name: str,
        minimum: float,
        maximum: float,
        default: float | None = None,
        exclusive_minimum: bool = False,
    ) -> float:
        """Returns a property that is a finite number within its bounds; without `default` it is required."""
        allowed = f"a number {'above' if exclusive_minimum else 'from'} {minimum:g} to {maximum:g}"
        if not self._request_property(name, default is None, allowed):
            return minimum if default is None else default
        value = self.node.properties[name]
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not math.isfinite(value)
            or not minimum <= value <= maximum
            or (exclusive_minimum and value == minimum)
        ):
            return self._report_value(name, allowed, minimum if default is None else default)
        return float(value)

    def integer(self, name: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Returns a property that is a whole number within its bounds; without `default` it is required."""
        allowed = f"a whole number from {minimum} to {maximum}"
        if not self._request_property(name, default is None, allowed):
            return minimum if default is None else default
        value: object = self.node.properties[name]
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            return int(self._report_value(name, allowed, minimum if default is None else default))
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Returns a property that is a string and not empty; without `default` it is required."""
        if not self._request_property(name, default is None, "a text"):
            return default or ""
        value = self.node.properties[name]
        if not isinstance(value, str) or not value:
            self.problems.add(self.path, f"{name} is {_format_value(value)}; allowed: a text")
            return default or ""
        return value

    def address(self, name: str) -> tuple[str, int]:
        """Returns a required property that is an address and a port, as 127.0.0.1:4318."""
        text = self.text(name)
        host, _, port = text.rpartition(":")
        try:
            socket.inet_aton(host)
            number = int(port)
        except (OSError, ValueError):
            number = -1
        if not 0 <= number < 65_536:
            if text:  # a missing property is already reported
                self.add_problem(
                    f'{name} is "{text[:40]}"; allowed: an address and a port, as 127.0.0.1:4318'
                )
            return "127.0.0.1", 0
        return host, number

    def argument(self, allowed: str) -> str | int | None:
        """Returns the next argument, a string or a whole number.

        Reports a missing one and returns None.
        """
        if self._args_read >= len(self.node.args):
            self.add_problem(f"has no argument; allowed: {allowed}")
            return None
        value: object = self.node.args[self._args_read]
        self._args_read += 1
        if isinstance(value, bool) or not isinstance(value, str | int):
            self.add_problem(f"{_format_value(value)} stands where {allowed} is allowed")
            return None
        return value

    def children(self, name: str) -> Iterator[NodeReader]:
        """Yields the child nodes of that name, in order."""
        self._requested_children.add(name)
        for child in self.node.children:
            if child.name == name:
                label = "".join(f" {_format_value(arg)}" for arg in child.args[:1])
                path = f"{self.path} > {name}{label}" if self.path else f"{name}{label}"
                yield NodeReader(child, path, self.problems)

    def child(self, name: str) -> NodeReader | None:
        """Returns the child node of that name, or None; reports a second one."""
        nodes = list(self.children(name))
        if len(nodes) > 1:
            self.add_problem(f"{name} stands {len(nodes)} times; allowed: once")
        return nodes[0] if nodes else None

    def reject_unknown(self) -> None:
        """Reports arguments, properties, children and types that were never requested."""
        if self._args_read < len(self.node.args):
            self.add_problem(f"{_format_value(self.node.args[self._args_read])} is one argument too many")
        if self.node.type_annotation is not None:
            self.add_problem(f"the type ({self.node.type_annotation}) is not known here; allowed: none")
        for name in self.node.properties:
            if name not in self._requested_properties:
                self.add_problem(
                    f"property {name} is not known; allowed: {_sorted_list(self._requested_properties)}"
                )
        for name in dict.fromkeys(child.name for child in self.node.children):
            if name not in self._requested_children:
                self.add_problem(
                    f"node {name} is not known; allowed: {_sorted_list(self._requested_children)}"
                )

    def _request_property(self, name: str, required: bool, allowed: str) -> bool:
        """Marks a property as requested; returns whether it is there and reports a missing required one."""
        self._requested_properties.add(name)
        if name not in self.node.properties and required:
            self.add_problem(f"{name} is missing; allowed: {allowed}")
        return name in self.node.properties

    def _report_value(self, name: str, allowed: str, replacement: float) -> float:
        """Reports a value that is not allowed; returns its replacement."""
        self.add_problem(f"{name} is {_format_value(self.node.properties[name])}; allowed: {allowed}")
        return replacement


def parse_document(text: str, file: str) -> tuple[NodeReader, Problems]:
    """Returns a reader whose children are the nodes of the document; raises DocumentError for invalid KDL."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise DocumentError([f"{file}: longer than {MAX_DOCUMENT_BYTES} bytes"])
    try:
        document = ckdl.parse(text)
    except (ValueError, OverflowError) as error:
        raise DocumentError([f"{file}: line {_line_of(text, str(error))}: not KDL: {error}"]) from None
    problems = Problems(file)
    for line, reason in _silent_errors(text):
        problems.add("", f"line {line}: {reason}")
    return NodeReader(ckdl.Node("document", *document.nodes), "", problems), problems


def read_document(path: Path) -> str:
    """Returns the text of a document file; raises DocumentError if it cannot be read or is not UTF-8."""
    try:
        with path.open("rb") as source:
            return source.read(MAX_DOCUMENT_BYTES + 1).decode()
    except OSError as error:
        raise DocumentError([f"{path.name}: cannot be read: {error.strerror}"]) from None
    except UnicodeDecodeError as error:
        raise DocumentError([f"{path.name}: not UTF-8 at byte {error.start}"]) from None


def _line_of(text: str, error: str) -> int:
    """Returns the line of a syntax error, which `ckdl` does not report.

    Removes lines from the end of the text for as long as the rest fails with the same error.  The last line
    that is left has the error.
    """
    lines = text.split("\n")
    line = len(lines)
    while line > 1:
        try:
            ckdl.parse("\n".join(lines[: line - 1]))
        except (ValueError, OverflowError) as shorter:
            if str(shorter) == error:
                line -= 1
                continue
        break
    return line


def _silent_errors(text: str) -> list[tuple[int, str]]:
    """Returns errors that the parser accepts, with their lines.

    Of a repeated property it keeps the last value, and it drops a property without a value (`name= {`).
    """
    masked = _STRING_OR_COMMENT.sub(
        lambda match: re.sub(r"[^\n]", "x", match.group())
        if match.group()[0] not in "/"
        else re.sub(r"[^\n]", " ", match.group()),
        text,
    )
    masked = re.sub(r"\\[ \t]*\n", lambda match: " " * len(match.group()), masked)  # line continuation
    errors: list[tuple[int, str]] = []
    position = 0
    for part in re.split(r"([;{}\n])", masked):
        line = text.count("\n", 0, position) + 1
        seen = set[str]()
        for commented_out, name in _PROPERTY.findall(part):
            if not commented_out and name in seen:
                errors.append((line, f"property {name} stands twice in one node; allowed: once"))
            if not commented_out:
                seen.add(name)
        if part.rstrip().endswith("="):
            errors.append((line, "a property has no value"))
        position += len(part)
    return errors


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return f'"{value[:40]}"'
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    return str(value)[:40]


def _sorted_list(names: set[str]) -> str:
    return ", ".join(sorted(names)) or "none"
