"""Tests of the front and the client."""
