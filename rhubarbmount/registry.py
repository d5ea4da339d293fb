"""Registries of named implementations, populated by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from rhubarbmount.errors import NotFound

__all__ = ["Registry"]

Item = TypeVar("Item")


class Registry(Generic[Item]):
    """Maps names to implementations of one kind.

    >>> greetings = Registry("greeting")
    >>> @greetings.register("polite")
    ... def polite():
    ...     return "good day"
    >>> greetings.get("polite")()
    'good day'
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._by_name: dict[str, Item] = {}

    def register(self, name: str) -> Callable[[Item], Item]:
        """Return a decorator that registers its target under a name.

        The decorator raises ValueError if the name is already registered.
        """

        def add(item: Item) -> Item:
            if name in self._by_name:
                raise ValueError(f"{self.kind} {name!r} is already registered")
            self._by_name[name] = item
            return item

        return add

    def get(self, name: str) -> Item:
        """Return the item, or raise NotFound, whose message lists the known names."""
        if name not in self._by_name:
            known = ", ".join(sorted(self._by_name))
            raise NotFound(f"no {self.kind} {name!r}; known: {known}")
        return self._by_name[name]

    def __contains__(self, name: object) -> bool:
        return name in self._by_name

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._by_name))
