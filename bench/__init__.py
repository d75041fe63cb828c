"""Measuring scripts; ``python -m bench`` runs them all."""
