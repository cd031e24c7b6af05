"""Tests, mirroring the package."""
