"""Choice of the target that runs a request, for all entries of a data centre."""

__all__ = [
    "answer_times",
    "choice",
    "continuation",
    "estimate",
    "part_news",
    "placed_attempts",
    "service",
    "silence_news",
]
