"""Tests of weights."""
