"""The commands, as functions that other programs may call."""

from rhubarbmount import __version__

__all__ = ["version"]


def version() -> int:
    """Print the version."""
    print(__version__)
    return 0
