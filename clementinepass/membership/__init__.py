"""Membership: agents, entries, their liveness and draining."""
