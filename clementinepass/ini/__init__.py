"""A reader of INI files that keeps line numbers, and values with units."""
