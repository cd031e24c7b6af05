"""INI files read with the line of each key, and values with units."""
