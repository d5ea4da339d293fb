"""Checks of values that other writers put into rows, lists and answers."""

import ipaddress
import math
from typing import Any, TypeGuard

__all__ = ["MAX_QUANTITY", "MAX_TIME_MS", "is_address", "is_name", "is_number"]

# No capacity, in thousandths of a core, megabytes or accelerators, is larger.
MAX_QUANTITY = 10**9
# No time of day, in Unix milliseconds, is later (the year 5138).
MAX_TIME_MS = 10**14
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_NAME_BYTES = 200


def is_number(value: Any, limit: float = MAX_QUANTITY) -> TypeGuard[int | float]:
    """Return whether a value is a number from 0 to a limit.

    >>> is_number(2.5), is_number(-1), is_number(10**400), is_number(True)
    (True, False, False, False)
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if isinstance(value, float) and not math.isfinite(value):
        return False
    return 0 <= value <= limit


def is_name(text: str) -> bool:
    """Return whether a text may stand in a header: visible ASCII, not too long.

    >>> is_name("i-7f3a"), is_name("é"), is_name("a b"), is_name("")
    (True, False, False, False)
    """
    has_room = 0 < len(text) <= MAX_NAME_BYTES
    return has_room and text.isascii() and text.isprintable() and " " not in text


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port that can be called.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:99999"), is_address("é:80")
    (True, False, False)
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT
