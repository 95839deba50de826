"""stairquay: a serving system for prompts whose conversations resume after long gaps."""

__version__ = "0.1.0"
