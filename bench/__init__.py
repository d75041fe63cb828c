"""Measurements; wall-clock figures decide no test."""
