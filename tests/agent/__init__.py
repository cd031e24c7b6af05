"""Tests of clementinepass.agent."""
