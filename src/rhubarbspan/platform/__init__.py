"""Formats and calls of the platform; this package makes no decisions."""
