"""The box process: serves callers, routes prompts for other boxes and carries out operators' orders."""
