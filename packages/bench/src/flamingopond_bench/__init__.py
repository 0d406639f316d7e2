"""Demonstration, load tool, benchmarks and capacity measurements."""
