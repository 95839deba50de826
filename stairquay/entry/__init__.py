"""The entry program: an HTTP proxy that limits, routes, retries and relays clients' requests."""
