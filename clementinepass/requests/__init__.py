"""Requests: identity, outcomes, streams, claims and quarantine."""
