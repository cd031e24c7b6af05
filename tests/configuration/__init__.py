"""Tests of clementinepass.configuration."""
