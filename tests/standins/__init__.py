"""Stand-ins for the systems around stairquay: platform, engines, plain services, store boxes."""
