"""Runs the command line with ``python -m wagtailrun``."""

from wagtailrun.cli.commands import main

if __name__ == "__main__":
    main()
