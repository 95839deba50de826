"""Adapters for the users' platform: its wire names, formats and calls, translated into this project's types.

No policy belongs here, and no wire name of the platform belongs anywhere else.
"""
