"""The command line: a thin layer over porcelain."""

import sys

from rhubarbmount import porcelain
from rhubarbmount.errors import FindingsError, RhubarbmountError

__all__ = ["main"]


def main() -> None:
    """Run the command named on the command line."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a command; return its exit code."""
    import defopt

    try:
        return defopt.run(porcelain.commands(), argv=arguments) or 0
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return 1
    except RhubarbmountError as error:
        print(f"rhubarbmount: {error.code}: {error.message}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130
