"""Tests of the package, named after its modules."""
