"""Plain tables of measurements."""

__all__ = ["format_table"]

from collections.abc import Sequence
from typing import Any


def format_cell(value: Any) -> str:
    """Format one value."""
    if isinstance(value, float):
        return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return str(value)


def format_table(rows: Sequence[Any]) -> str:
    """Format named tuples of one kind as a Markdown table."""
    if not rows:
        return "no rows"
    head = list(rows[0]._fields)
    lines = [head, ["---"] * len(head)]
    lines.extend([format_cell(value) for value in row] for row in rows)
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
