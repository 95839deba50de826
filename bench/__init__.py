"""Benchmarks, cost measurements and the demonstration; not part of the product."""
