"""Runs the command line with ``python -m wagtailrun``."""

from wagtailrun.cli import main

if __name__ == "__main__":
    main()
