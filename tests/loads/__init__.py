"""Load simulations on virtual time, without sockets, of the product's decisions.

Each module names its load pattern and the grounds for its figures. All randomness is seeded.
"""
