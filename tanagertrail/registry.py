"""Registries of interchangeable behaviour, filled by decorators."""

__all__ = ["Registry"]

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to implementations of one kind of behaviour."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds its target under a name.

        :raises ValueError: if the name is taken
        """

        def add(entry: T) -> T:
            if name in self.entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.entries[name] = entry
            return entry

        return add

    def get(self, name: str) -> T:
        """Return the entry of a name.

        :raises KeyError: if there is none
        """
        if name not in self.entries:
            known = ", ".join(sorted(self.entries))
            raise KeyError(f"unknown {self.kind} {name!r}; known: {known}")
        return self.entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self.entries))
