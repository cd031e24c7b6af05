"""Tests of the adapters for the endpoints."""
