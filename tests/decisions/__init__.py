"""Tests of the decision logic."""
