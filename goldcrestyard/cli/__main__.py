"""Entry point of ``python -m goldcrestyard.cli``."""

import sys

from goldcrestyard.cli.application import main

if __name__ == "__main__":
    sys.exit(main())
