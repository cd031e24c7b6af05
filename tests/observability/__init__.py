"""Tests of logs."""
