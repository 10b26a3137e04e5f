"""Entry point of `python -m bronzetrack.console`."""

from __future__ import annotations

from bronzetrack.console import application

if __name__ == "__main__":
    application.main()
