"""Tests of requests: identity, outcomes, streams, claims, quarantine."""
