"""Run the command line as ``python -m rhubarbmount``."""

from rhubarbmount.cli import main

if __name__ == "__main__":
    main()
