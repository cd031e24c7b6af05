"""Measurements with fixed seeds."""
