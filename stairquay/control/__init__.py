"""The control program: the operator API, and the leader's version orders and upkeep."""
