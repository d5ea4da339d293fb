"""Command-line entry point: a thin layer over porcelain."""

import signal
import sys

from rhubarbmount.errors import FindingsError, RhubarbmountError

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a command and return its exit code; errors are printed to stderr."""
    try:
        return _run(arguments)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return 1
    except RhubarbmountError as error:
        print(f"rhubarbmount: {error.code}: {error.message}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130


def _run(arguments: list[str]) -> int:
    """Run a command; ``serve`` skips the argument parser to save memory."""
    if arguments == ["serve"]:
        # The imports take their time, in which a reload may be asked for.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from rhubarbmount.batch import node

        return node.serve()
    from rhubarbmount import porcelain

    match arguments:
        case ["serve", settings] if not settings.startswith("-"):
            return porcelain.serve(settings)
    import defopt

    return defopt.run(porcelain.commands(), argv=arguments) or 0
