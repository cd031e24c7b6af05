"""Tests of the adapters for the platform."""
