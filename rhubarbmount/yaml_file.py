"""YAML files, with the line number of each value."""

from pathlib import Path
from typing import Any

import attrs
import yaml

from rhubarbmount.errors import Finding, FindingsError

__all__ = ["YamlFile", "read_yaml"]

ValuePath = tuple[str | int, ...]


@attrs.frozen
class YamlFile:
    """The values of a file, and the line number of each by its path."""

    name: str
    values: Any
    line_by_path: dict[ValuePath, int]

    def place(self, path: ValuePath) -> str:
        """Return ``file:line`` of a value, or of its nearest known parent."""
        while path not in self.line_by_path and path:
            path = path[:-1]
        return f"{self.name}:{self.line_by_path.get(path, 1)}"


def read_yaml(name: str) -> YamlFile:
    """Read a file. Raises FindingsError if it is unreadable or not YAML."""
    try:
        text = Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise FindingsError([Finding(name, "unreadable", reason)]) from None
    return parse_yaml(name, text)


def parse_yaml(name: str, text: str) -> YamlFile:
    """Parse the text of a file. Raises FindingsError if it is not YAML."""
    lines: dict[ValuePath, int] = {(): 1}
    loader = yaml.CSafeLoader(text)
    try:
        node = loader.get_single_node()
        if node is not None:
            _collect_lines(node, (), lines)
        values = None if node is None else loader.construct_document(node)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, "problem", None) or str(error)
        raise FindingsError([Finding(f"{name}:{line}", "not-yaml", problem)]) from None
    finally:
        loader.dispose()
    return YamlFile(name, values, lines)


def _collect_lines(
    node: yaml.Node, path: ValuePath, lines: dict[ValuePath, int]
) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            child = (*path, str(key_node.value))
            lines[child] = key_node.start_mark.line + 1
            _collect_lines(value_node, child, lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, item_node in enumerate(node.value):
            _collect_lines(item_node, (*path, index), lines)
