"""The router program: chooses endpoints for prompts, and imports and exports cached context."""
