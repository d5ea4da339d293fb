"""Identifiers of the lifetimes of backend servers.

A backend server may start again under the name that it had. The name and the time of
the start together tell its lifetimes apart; everything that is kept for a lifetime is
kept by this identifier, never by the name alone.
"""

__all__ = ["born_ms_of", "lifetime_id", "name_of"]

SEPARATOR = "@"


def lifetime_id(name: str, born_ms: int) -> str:
    """Return the identifier of a lifetime; ``born_ms`` is 0 if it is not known.

    >>> lifetime_id("i-7f3a", 1785455249123)
    'i-7f3a@1785455249123'
    >>> lifetime_id("i-7f3a", 0)
    'i-7f3a'
    """
    return f"{name}{SEPARATOR}{born_ms}" if born_ms else name


def name_of(server_id: str) -> str:
    """Return the name under which the server of a lifetime registers.

    >>> name_of("i-7f3a@1785455249123")
    'i-7f3a'
    """
    name, _, born_ms = server_id.rpartition(SEPARATOR)
    return name if name and born_ms.isdigit() else server_id


def born_ms_of(server_id: str) -> int:
    """Return when a lifetime began, in Unix milliseconds, or 0 if it is not known.

    >>> born_ms_of("i-7f3a@1785455249123")
    1785455249123
    """
    return int(server_id[len(name_of(server_id)) + 1 :] or 0)
