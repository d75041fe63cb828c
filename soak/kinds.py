"""Kinds of fleets by name."""

from soak.dialect import Dialect

__all__ = ["KINDS", "dialect_of"]

KINDS = ("relay", "product")


def dialect_of(kind: str) -> Dialect:
    """Return the wire format of a kind of fleet."""
    if kind == "relay":
        # The platform's wire format stands in the tests.
        from tests.soak_relay import RelayDialect

        return RelayDialect()
    from tests.soak_product import ProductDialect

    return ProductDialect()
