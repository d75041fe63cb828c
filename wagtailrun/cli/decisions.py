"""Prints how the decisions of plays differ."""

from typing import Any

from wagtailrun.cli.output import print_rows, printable

__all__ = ["print_comparison"]


def print_comparison(found: Any) -> None:
    """Print a ``DecisionComparison``."""
    for gap in found.gaps:
        print(f"missing: {printable(gap)}")
    for note in found.notes:
        print(f"note: {printable(note)}")
    for play in found.plays:
        _print_play(play)


def _print_play(play: Any) -> None:
    label, difference = printable(play.label), play.first_difference
    if difference is None:
        print(f"{label}: no difference in {play.counts[0]} decisions")
        return
    first, second = play.counts
    different = sum(counts.all_different for counts in play.by_point.values())
    print(f"{label}: {different} decisions differ, of {first} and {second}")
    print(f"\nThe first is decision {difference.number}, after these:")
    print_rows([_row(each) for each in difference.before], empty="none")
    print("\nIt differs in " + (", ".join(difference.fields()) or "all: one has ended"))
    sides = {"first": difference.first, "second": difference.second}
    print_rows([{"play": name, **_row(each)} for name, each in sides.items() if each])
    print("\nits candidates:")
    print_rows(difference.candidate_rows(), empty="none")
    print("\nall decisions, by point:")
    print_rows(
        [
            {
                "point": point,
                "both": counts.both,
                "different": counts.different,
                "chosen differently": counts.chosen_differently,
                "only first": counts.only_first,
                "only second": counts.only_second,
            }
            for point, counts in play.by_point.items()
        ]
    )
    print()


def _row(decision: Any) -> dict[str, Any]:
    """Return a decision without its candidates."""
    names = ("at_ms", "entry", "request", "step", "point", "chosen", "reason")
    return {name: getattr(decision, name) for name in names}
