"""Fleet capacity and maintenance manager for teams that share hosts."""

__all__ = ["__version__"]

__version__ = "0.1.0"
