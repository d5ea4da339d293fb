"""Entry point of ``python -m rhubarbmount``."""

import sys

from rhubarbmount.cli import main

if __name__ == "__main__":
    sys.argv[0] = "rhubarbmount"
    main()
