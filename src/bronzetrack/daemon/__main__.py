"""Entry point of `bronzetrackd` and of `python -m bronzetrack.daemon`."""

from __future__ import annotations

from bronzetrack.core import signalmask


def main() -> None:
    """Run the command line of the daemon."""
    signalmask.hold_signals()
    # These imports take most of the time of a start.
    from bronzetrack.daemon import main as command_line

    command_line.main()


if __name__ == "__main__":
    main()
