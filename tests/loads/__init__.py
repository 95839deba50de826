"""Loads played on virtual time: what callers and endpoints get out of the product's own decisions.

Each module names the pattern it plays and where its figures come from. No sockets, no real time; all chance
comes from seeds.
"""
