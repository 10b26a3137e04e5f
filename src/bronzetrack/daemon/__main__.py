"""Entry point of `python -m bronzetrack.daemon`."""

from __future__ import annotations

from bronzetrack.daemon import main

if __name__ == "__main__":
    main.main()
