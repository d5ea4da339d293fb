"""The command line: a thin layer over porcelain."""

import sys

__all__ = ["main"]


def main() -> None:
    """Run the command named on the command line."""
    import defopt

    from rhubarbmount import porcelain

    commands = {"version": porcelain.version}
    result = defopt.run(commands, argv=sys.argv[1:])
    sys.exit(result or 0)
