"""Registries that map names to classes or functions, filled by decorators."""

__all__ = ["Registry"]

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to interchangeable implementations.

    :ivar kind: what the entries are, for error messages
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its target under a name.

        :raises ValueError: if the name is registered already; the decorator raises it
        """

        def add(entry: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry registered under a name.

        :raises KeyError: if the name is unknown
        """
        if name not in self.entries:
            known = ", ".join(sorted(self.entries))
            raise KeyError(f"unknown {self.kind} {name!r}; known: {known}")
        return self.entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
