"""The command line interface for operators."""
