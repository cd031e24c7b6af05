"""Adapters for the platform's services, one module for each protocol."""
