"""Stand-ins for the platform and the endpoints, for tests and trials."""
