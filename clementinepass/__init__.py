"""Weight distribution and request coordination for model instances."""
