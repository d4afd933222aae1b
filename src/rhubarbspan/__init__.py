"""Global traffic steering over routes and pools."""

__version__ = "0.1.0"
