"""Plays the days of a site file with real boxes and endpoint processes, and counts every line of BUDGET.

This folder reads the users' names of fields and troubles, and translates them to the project's own.
"""
