"""The users' platform: its names, formats and calls, translated into the project's own types.

Nothing here decides anything, and nothing outside this folder knows these names.
"""
