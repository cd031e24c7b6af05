"""Members: entries, agents, leaving and liveness."""
