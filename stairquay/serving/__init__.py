"""One process a box: callers' requests, decisions and orders on one loop."""
