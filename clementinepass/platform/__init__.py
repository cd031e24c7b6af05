"""Adapters for the platform's services."""
