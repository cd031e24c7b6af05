"""Cap'n Proto protocol between the system's own processes."""
