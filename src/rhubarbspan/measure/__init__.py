"""Measures the decisions in virtual time and compares them with simple baselines."""
