"""Tests of the HTTP server and the HTTP client."""
