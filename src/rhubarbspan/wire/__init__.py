"""Encodings: translates between typed messages and the formats on the wire."""
