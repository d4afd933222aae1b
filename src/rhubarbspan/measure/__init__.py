"""Measures the decisions in virtual time, beside naive baselines."""
